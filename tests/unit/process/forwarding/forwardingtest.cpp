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

// Guards against requests that travel from VM to VM while all of them are partitioned, and against callers that wait although nobody can serve them.
CATCH_TEST_CASE("A request is forwarded once at most, and refused at once when no other VM reaches instances", "[forwarding][lost-path][true-refusal]")
{
    ForwardingFleet fleet;
    fleet.partitioned->instances.isPartitioned = true;
    fleet.other->instances.isPartitioned = true;
    for (int number = 0; number < 4; ++number) {
        fleet.partitioned->handle("GET", "/read");
        fleet.other->handle("GET", "/read");
    }
    const SteadyTime start = std::chrono::steady_clock::now();
    const CallerResponse response = fleet.partitioned->handle("POST", "/write", "order-1");
    CATCH_CHECK(std::chrono::steady_clock::now() - start < 100ms);
    CATCH_CHECK(response.http.status == 503);
    CATCH_CHECK(findHeader(response.http.headers, "Retry-After") != nullptr);
    CATCH_CHECK(fleet.other->instances.runsOf("order-1") == 0);
}

// Guards against a request that counts twice against its team's limit, and against a key that reaches the other VM or the instance.
CATCH_TEST_CASE("A forwarded request counts against limits and is authenticated at the VM that received it alone", "[forwarding][fleet-limit][key-isolation]")
{
    ForwardingFleet fleet;
    fleet.partitioned->instances.isPartitioned = true;
    for (int number = 0; number < 3; ++number) {
        fleet.partitioned->handle("GET", "/read");
    }
    const int takenByOther = fleet.other->limiter.taken;
    const int taken = fleet.partitioned->limiter.taken;
    CATCH_REQUIRE(fleet.partitioned->handle("POST", "/write", "order-1").http.status == 200);
    CATCH_CHECK(fleet.other->instances.runsOf("order-1") == 1);
    CATCH_CHECK(fleet.partitioned->limiter.taken == taken + 1);
    CATCH_CHECK(fleet.other->limiter.taken == takenByOther);
    CATCH_CHECK(!fleet.other->instances.sawKey);
    // A withdrawn key ends the request before it leaves this VM.
    fleet.partitioned->lookup->keysLeft = 1;
    CATCH_CHECK(fleet.partitioned->handle("POST", "/write", "order-2").http.status == 401);
    CATCH_CHECK(fleet.other->instances.runsOf("order-2") == 0);
}

// Guards against a VM that keeps forwarding, and so costs others, after it reaches the instances again.
CATCH_TEST_CASE("A VM notices without a request that it reaches instances again", "[forwarding][lost-path]")
{
    ForwardingFleet fleet;
    fleet.partitioned->instances.isPartitioned = true;
    for (int number = 0; number < 3; ++number) {
        fleet.partitioned->handle("GET", "/read");
    }
    CATCH_REQUIRE(fleet.partitioned->node.isPartitionedFromInstances());
    CATCH_REQUIRE(Harness::waitUntil(1s, [&fleet] { return fleet.other->node.otherVms().count(std::chrono::steady_clock::now()) == 0; }));
    fleet.partitioned->instances.isPartitioned = false;
    CATCH_CHECK(Harness::waitUntil(1s, [&fleet] { return !fleet.partitioned->node.isPartitionedFromInstances(); }));
    CATCH_CHECK(Harness::waitUntil(1s, [&fleet] { return fleet.other->node.otherVms().count(std::chrono::steady_clock::now()) == 1; }));
    const std::uint64_t forwarded = fleet.partitioned->forwarding->sender().forwardedCount();
    CATCH_CHECK(fleet.partitioned->handle("GET", "/read").http.status == 200);
    CATCH_CHECK(fleet.partitioned->forwarding->sender().forwardedCount() == forwarded);
}

// Guards against a shutdown that interrupts requests of other VMs, and against leaving or unknown instances that get requests on this way.
CATCH_TEST_CASE("A VM that shuts down, or knows that the instance is leaving, doesn't accept a forwarded request", "[forwarding][leaving-upstream]")
{
    ForwardingFleet fleet;
    fleet.partitioned->instances.isPartitioned = true;
    for (int number = 0; number < 3; ++number) {
        fleet.partitioned->handle("GET", "/read");
    }
    ForwardingClient client({.vm = "vm-1", .fleetSecret = "a secret of the tests"});
    UpstreamCall call;
    call.request = {"GET", "/read", {}, ""};
    call.host = "10.0.0.1";
    call.port = 80;
    call.deadline = std::chrono::steady_clock::now() + 5s;
    const auto acceptance = [&] { return client.send("127.0.0.23", static_cast<std::uint16_t>(fleet.fleetPort), call).acceptance; };
    call.instance = "local-1";
    CATCH_CHECK(acceptance() == ForwardingClient::Acceptance::Accepted);
    call.instance = "unknown";
    CATCH_CHECK(acceptance() == ForwardingClient::Acceptance::NotAccepted);
    RelayMessages::Registration leaving = fleet.registrationOf("local-1", "10.0.0.1", 80, "a");
    leaving.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    leaving.set_sequence(2);
    fleet.hub->publish(leaving, false, SteadyTime());
    call.instance = "local-1";
    CATCH_CHECK(Harness::waitUntil(1s, [&] { return acceptance() == ForwardingClient::Acceptance::NotAccepted; }));
    call.instance = "local-2";
    CATCH_CHECK(acceptance() == ForwardingClient::Acceptance::Accepted);
    fleet.other->forwarding->stopAccepting();
    CATCH_CHECK(acceptance() == ForwardingClient::Acceptance::NotAccepted);
    CATCH_CHECK(fleet.other->forwarding->waitUntilIdle(0ms));
    CATCH_CHECK(fleet.partitioned->handle("GET", "/read").http.status == 503);
}
