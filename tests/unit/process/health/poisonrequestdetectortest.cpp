#include "process/health/poisonrequestdetector.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

// Guards against a request that crashes one instance after the other, and against refusing a request whose connections were lost for other
// reasons.
CATCH_TEST_CASE("A request is poison after several instances were lost to it and none responded", "[poison]")
{
    const SteadyTime start{std::chrono::hours(1)};
    PoisonRequestDetector detector;
    detector.addLostConnection(7, 1, start);
    detector.addLostConnection(7, 2, start);
    detector.addLostConnection(7, 2, start);
    CATCH_CHECK_FALSE(detector.isPoison(7, start));
    detector.addLostConnection(7, 3, start);
    CATCH_CHECK(detector.isPoison(7, start));
    CATCH_CHECK_FALSE(detector.isPoison(8, start));
    CATCH_CHECK_FALSE(detector.isPoison(7, start + PoisonRequestDetector::retention + std::chrono::seconds(1)));
    detector.addResponse(7);
    CATCH_CHECK_FALSE(detector.isPoison(7, start));
}
