#include "fleetfixture.h"
#include "process/health/ejectionarbiter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Tests::FleetFixture;

// Guards against ejections that add up over VMs or over arbiters until a service has less than its floor.
CATCH_TEST_CASE("All but one instance failing leaves the floor in service on each VM", "[integration][ejection-floor]")
{
    constexpr std::size_t instances = 7;
    // Seven tenths of the instances, rounded up.
    constexpr std::size_t floor = 5;
    FleetFixture fixture(2);
    fixture.start(instances, 1);
    CATCH_REQUIRE(fixture.fleet.putService("reads", 700));
    CATCH_REQUIRE(fixture.fleet.waitInForce());
    std::atomic<bool> stopping{false};
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < 10; ++caller) {
        callers.emplace_back([&, caller] {
            for (int index = 0; !stopping; ++index) {
                const std::string path = "/reads/" + std::to_string(caller) + "-" + std::to_string(index);
                fixture.fleet.call(caller % fixture.fleet.vms().size(), "GET", path, fixture.redKey);
                std::this_thread::sleep_for(10ms);
            }
        });
    }
    // A new arbiter decides nothing until the records of one before it have run out.
    std::this_thread::sleep_for(EjectionArbiter::quietPeriod + 1s);
    // Three of seven fail while most are sound, so all three stand out and the floor alone keeps the third.
    const auto setMode = [&fixture](std::size_t first, std::size_t end, const std::string &mode) {
        for (std::size_t index = first; index < end; ++index) {
            fixture.fleet.setFaults(*fixture.fleet.upstreams()[index], {{"mode", mode}});
        }
    };
    setMode(1, 4, "error");
    std::size_t mostEjected = 0;
    const auto observe = [&fixture, &mostEjected](std::chrono::seconds time) {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (const Harness::TestFleet::Vm &vm : fixture.fleet.vms()) {
                const nlohmann::json known = fixture.fleet.instances(vm, "reads");
                const std::size_t ejected = static_cast<std::size_t>(
                    std::count_if(known.begin(), known.end(), [](const nlohmann::json &instance) { return instance["ejected"].get<bool>(); }));
                mostEjected = std::max(mostEjected, ejected);
                CATCH_CHECK((known.empty() || known.size() - ejected >= floor));
            }
            std::this_thread::sleep_for(100ms);
        }
    };
    observe(10s);
    setMode(4, instances, "error");
    observe(4s);
    setMode(4, instances, "none");
    // Another arbiter must count the ejections of the one before.
    const std::size_t killed = fixture.shardOwner("service:reads");
    const std::size_t successor = fixture.shardOwner("service:reads", {killed});
    fixture.fleet.vms()[killed].process->kill();
    observe(5s);
    fixture.fleet.vms()[successor].process->pause();
    observe(4s);
    fixture.fleet.vms()[successor].process->resume();
    observe(16s);
    stopping = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CATCH_INFO(mostEjected << " ejected at most");
    CATCH_CHECK(mostEjected >= 1);
}
