#include "unit/process/forwarding/forwardingfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using HyssophallTest::ForwardingFleet;

namespace {

std::vector<std::string> instanceIds()
{
    std::vector<std::string> ids;
    for (int number = 1; number <= ForwardingFleet::localInstances; ++number) {
        ids.push_back("local-" + std::to_string(number));
    }
    for (int number = 1; number <= ForwardingFleet::remoteInstances; ++number) {
        ids.push_back("remote-" + std::to_string(number));
    }
    return ids;
}

HttpResponse rejection(const std::string &retryAfter)
{
    return {503, {{"Hyssophall-Not-Run", "true"}, {"Retry-After", retryAfter}}, ""};
}

/// Sends a request every 10 ms for this long.
void callFor(HyssophallTest::ForwardingVm &vm, std::chrono::milliseconds duration)
{
    const SteadyTime end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
        vm.handle("GET", "/read");
        std::this_thread::sleep_for(10ms);
    }
}

} // namespace

// Guards against an overloaded instance that wants no requests of a VM for some time and gets them all the same.
CATCH_TEST_CASE("An instance that sends Retry-After gets no requests from that VM until the time is over", "[forwarding][load-shedding]")
{
    ForwardingFleet fleet;
    fleet.other->instances.setResponse([](const std::string &) { return rejection("2"); });
    callFor(*fleet.other, 1800ms);
    for (const std::string &instance : instanceIds()) {
        const std::vector<SteadyTime> arrivals = fleet.other->instances.arrivalsAt(instance);
        const auto isRejection = [&](SteadyTime time) { return time >= arrivals.back() - 1700ms; };
        const auto first = std::find_if(arrivals.begin(), arrivals.end(), isRejection);
        // Requests that arrive within half a second may have been under way.
        CATCH_CHECK(std::count_if(first, arrivals.end(), [first](SteadyTime time) { return time - *first > 500ms; }) <= 2);
    }
    // With all instances unavailable, a request is refused at once, and its caller told when the first one is available.
    const SteadyTime start = std::chrono::steady_clock::now();
    const CallerResponse response = fleet.other->handle("POST", "/write");
    CATCH_CHECK(std::chrono::steady_clock::now() - start < 100ms);
    CATCH_CHECK(response.http.status == 503);
    CATCH_CHECK(findHeader(response.http.headers, "Retry-After") != nullptr);
    fleet.other->instances.setResponse(nullptr);
    CATCH_CHECK(Harness::waitUntil(3s, [&fleet] { return fleet.other->handle("GET", "/read").http.status == 200; }));
}

// Guards against a VM that keeps to Retry-After with its own requests alone, since the instance can't tell whose request it gets.
CATCH_TEST_CASE("A VM keeps to the Retry-After of an instance for the requests of other VMs, too", "[forwarding][load-shedding]")
{
    ForwardingFleet fleet;
    fleet.partitioned->instances.isPartitioned = true;
    callFor(*fleet.partitioned, 100ms);
    CATCH_REQUIRE(fleet.partitioned->node.isPartitionedFromInstances());
    fleet.other->instances.setResponse([](const std::string &) { return rejection("2"); });
    callFor(*fleet.partitioned, 1000ms);
    std::size_t arrivals = 0;
    for (const std::string &instance : instanceIds()) {
        CATCH_CHECK(!fleet.other->node.takesRequests(instance));
        arrivals += fleet.other->instances.arrivalsAt(instance).size();
    }
    callFor(*fleet.other, 200ms);
    callFor(*fleet.partitioned, 200ms);
    for (const std::string &instance : instanceIds()) {
        arrivals -= fleet.other->instances.arrivalsAt(instance).size();
    }
    CATCH_CHECK(arrivals == 0);
}

// Guards against requests to an instance that has said in a response that it is leaving, before or without its registration saying so.
CATCH_TEST_CASE("An instance whose responses say that it is leaving gets no further requests from that VM", "[forwarding][leaving-upstream]")
{
    ForwardingFleet fleet;
    fleet.other->instances.setResponse([](const std::string &instance) {
        HttpResponse response{200, {}, "done"};
        if (instance == "local-1") {
            response.headers.push_back({"Hyssophall-Leaving", "1"});
        }
        return response;
    });
    callFor(*fleet.other, 300ms);
    const std::size_t arrived = fleet.other->instances.arrivalsAt("local-1").size();
    // Another VM's success there makes it no better.
    fleet.partitioned->handle("GET", "/read");
    callFor(*fleet.other, 500ms);
    CATCH_CHECK(fleet.other->instances.arrivalsAt("local-1").size() == arrived);
    // If it is the only one left, a request is refused.
    for (const std::string &instance : instanceIds()) {
        if (instance != "local-1") {
            RelayMessages::Registration leaving = ForwardingFleet::registrationOf(instance, "10.0.0.1", 80, "a");
            leaving.set_state(RelayMessages::REGISTRATION_STATE_GONE);
            leaving.set_sequence(2);
            fleet.hub->publish(leaving, false, SteadyTime());
        }
    }
    CATCH_CHECK(Harness::waitUntil(1s, [&fleet] { return fleet.other->handle("GET", "/read").http.status == 503; }));
    CATCH_CHECK(fleet.other->instances.arrivalsAt("local-1").size() == arrived);
}
