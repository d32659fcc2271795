#include "process/proxy/shutdownsequence.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

std::string orderOfSteps(bool idle)
{
    std::string order;
    ShutdownSequence::Steps steps;
    steps.markUnready = [&order] { order += "announce "; };
    steps.sleep = [&order](std::chrono::milliseconds duration) { order += "sleep " + std::to_string(duration.count()) + " "; };
    steps.stopAccepting = [&order] { order += "stop "; };
    steps.waitUntilIdle = [&order, idle](std::chrono::milliseconds limit) {
        order += "wait " + std::to_string(limit.count()) + " ";
        return idle;
    };
    steps.leaveFleet = [&order] { order += "leave"; };
    CATCH_CHECK(ShutdownSequence({std::chrono::milliseconds(3), std::chrono::milliseconds(30)}, steps).run() == idle);
    return order;
}

} // namespace

CATCH_TEST_CASE("A shutdown makes the VM unready before it refuses requests, and leaves the fleet last", "[proxy][graceful-shutdown]")
{
    // Guards against refusing requests before the load balancer has detected the shutdown, and against returning leases that requests in flight still need.
    CATCH_CHECK(orderOfSteps(true) == "announce sleep 3 stop wait 30 leave");
    CATCH_CHECK(orderOfSteps(false) == "announce sleep 3 stop wait 30 leave");
}
