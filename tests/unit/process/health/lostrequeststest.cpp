#include "process/health/lostrequests.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

// Guards against a request that crashes one instance after the other, and against refusing a request whose connections were lost for other
// reasons.
CATCH_TEST_CASE("A request is poison after several instances were lost to it and none responded", "[poison]")
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
    CATCH_CHECK_FALSE(lost.isPoison(7, start + LostRequests::retention + std::chrono::seconds(1)));
    lost.addAnswered(7);
    CATCH_CHECK_FALSE(lost.isPoison(7, start));
}
