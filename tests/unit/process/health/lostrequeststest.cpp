#include "process/health/lostrequests.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

// Guards against a request that goes on crashing instances, and against blaming one for connections that were lost otherwise.
CATCH_TEST_CASE("A request is poison once several instances were lost to it and none answered it", "[poison]")
{
    const SteadyTime start{std::chrono::hours(1)};
    LostRequests lost;
    lost.addLost(7, 1, start);
    lost.addLost(7, 2, start);
    lost.addLost(7, 2, start);
    CATCH_CHECK_FALSE(lost.isPoison(7, start));
    lost.addLost(7, 3, start);
    CATCH_CHECK(lost.isPoison(7, start));
    CATCH_CHECK_FALSE(lost.isPoison(8, start));
    CATCH_CHECK_FALSE(lost.isPoison(7, start + LostRequests::memory + std::chrono::seconds(1)));
    lost.addAnswered(7);
    CATCH_CHECK_FALSE(lost.isPoison(7, start));
}
