#include "unit/process/forwarding/forwardingfleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using HyssophallTest::ForwardingFleet;

// Guards against callers of a VM that has lost its connection to all instances being refused while other VMs reach these instances.
CATCH_TEST_CASE("A VM that reaches no instance has its requests served through another VM", "[forwarding][lost-path][at-most-once]")
{
    ForwardingFleet fleet;
    fleet.partitioned->instances.isPartitioned = true;
    constexpr int requests = 30;
    int served = 0;
    for (int number = 0; number < requests; ++number) {
        const std::string order = "order-" + std::to_string(number);
        fleet.other->handle("GET", "/read");
        served += fleet.partitioned->handle(number % 2 == 0 ? "POST" : "GET", number % 2 == 0 ? "/write" : "/read", order).http.status == 200 ? 1 : 0;
        CATCH_CHECK(fleet.partitioned->instances.runsOf(order) + fleet.other->instances.runsOf(order) <= 1);
    }
    // Two thirds of what the other VM serves.
    CATCH_CHECK(3 * served >= 2 * requests);
}

// Guards against healthy instances being avoided by all VMs, because one VM has lost its own connection to them.
CATCH_TEST_CASE("Connections that fail at one VM don't mark the instances as unreachable for the others", "[forwarding][lost-path][false-ejection]")
{
    ForwardingFleet fleet;
    fleet.partitioned->instances.isPartitioned = true;
    const int remoteRuns = fleet.other->instances.runsOn(ForwardingFleet::remoteHost);
    for (int number = 0; number < 20; ++number) {
        fleet.partitioned->handle("GET", "/read");
        // An update takes a few milliseconds over the relay.
        std::this_thread::sleep_for(20ms);
        CATCH_CHECK(fleet.other->handle("GET", "/read").http.status == 200);
    }
    // A VM leaves its failure domain only when the instances there are worse.
    CATCH_CHECK(fleet.other->instances.runsOn(ForwardingFleet::remoteHost) == remoteRuns);
}
