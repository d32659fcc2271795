#include "process/health/inflightrequests.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using Milliseconds = std::chrono::milliseconds;

// Guards against an instance that stays busier or less busy than it is for a VM that has moved to another relay, whether its former relay passes the starts
// on or not.
CATCH_TEST_CASE("Starts that a negative count announces aren't counted, and a lost one is expected for a short time only", "[health]")
{
    const SteadyTime begin = std::chrono::steady_clock::now();
    InFlightRequests requests;
    requests.reset(-2, Milliseconds(400), begin);
    CATCH_CHECK(requests.count() == 0);
    requests.start(1, begin + Milliseconds(100));
    CATCH_CHECK(requests.count() == 0);
    requests.start(3, begin + Milliseconds(399));
    CATCH_CHECK(requests.count() == 2);
    requests.end(2);
    CATCH_CHECK(requests.count() == 0);
    requests.reset(-2, Milliseconds(400), begin);
    requests.start(1, begin + Milliseconds(400));
    CATCH_CHECK(requests.count() == 1);
    requests.reset(3, Milliseconds(400), begin);
    requests.start(1, begin);
    CATCH_CHECK(requests.count() == 4);
}
