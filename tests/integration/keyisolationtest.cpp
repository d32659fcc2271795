#include "fleetfixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Harness::HttpResponse;
using Tests::FleetFixture;

namespace {

long readyStatus(const Harness::TestFleet::Vm &vm)
{
    return Harness::get("http://" + vm.administrationAddress + "/ready").status;
}

bool withdrawRedKey(FleetFixture &fixture)
{
    return fixture.fleet.command({"key", "withdraw", "red-1"}).exitCode == 0;
}

} // namespace

// Guards against a VM that goes on honouring keys after it has lost touch with the fleet, and so with withdrawals.
CATCH_TEST_CASE("A VM whose peers all stopped refuses keyed requests until they are back", "[integration][key-isolation][true-refusal]")
{
    FleetFixture fixture(2);
    fixture.start();
    constexpr std::size_t alone = 4;
    Harness::TestFleet::Vm &vm = fixture.fleet.vms()[alone];
    CATCH_REQUIRE(fixture.fleet.call(alone, "GET", "/reads/before", fixture.redKey).status == 200);
    for (std::size_t index = 0; index < alone; ++index) {
        fixture.fleet.vms()[index].process->pause();
    }
    // The serving lease lasts 3 s; 6 s is the target for a withdrawal.
    const std::chrono::steady_clock::time_point stoppedAt = std::chrono::steady_clock::now();
    CATCH_CHECK(Harness::waitUntil(6s, [&vm] { return readyStatus(vm) == 503; }));
    CATCH_CHECK(std::chrono::steady_clock::now() - stoppedAt < 6s);
    for (int index = 0; index < 20; ++index) {
        const std::string path = "/orders/alone-" + std::to_string(index);
        const HttpResponse answer = fixture.fleet.call(alone, "POST", path, fixture.redKey, "body");
        CATCH_INFO(answer.status << " " << answer.body);
        CATCH_CHECK(answer.status == 503);
        CATCH_CHECK(answer.header("hyssophall-refusal") == "vm_isolated");
        CATCH_CHECK(answer.header("hyssophall-outcome") == "not-run");
        CATCH_CHECK(fixture.runsOf("POST " + path) == 0);
    }
    for (std::size_t index = 0; index < alone; ++index) {
        fixture.fleet.vms()[index].process->resume();
    }
    CATCH_REQUIRE(Harness::waitUntil(15s, [&vm] { return readyStatus(vm) == 200; }));
    CATCH_REQUIRE(Harness::waitUntil(15s, [&fixture] { return fixture.fleet.call(alone, "GET", "/reads/after", fixture.redKey).status == 200; }));
}

// Guards against the first requests after a pause being judged with the catalogue and the lease of before it.
CATCH_TEST_CASE("A VM that was stopped while a key was withdrawn never honours it afterwards", "[integration][key-isolation]")
{
    FleetFixture fixture(2);
    fixture.start();
    constexpr std::size_t stopped = 4;
    Harness::TestFleet::Vm &vm = fixture.fleet.vms()[stopped];
    // The VM is stopped under load, so it holds the team's tokens and requests in all stages when it goes on.
    std::atomic<bool> stopping{false};
    std::atomic<int> untrue{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 12; ++caller) {
        callers.emplace_back([&] {
            while (!stopping) {
                const HttpResponse answer = fixture.fleet.call(stopped, "GET", "/reads/load", fixture.redKey, "", {{"X-Request-Timeout-Ms", "9000"}});
                untrue += answer.status == 0 ? 1 : 0;
            }
        });
    }
    std::this_thread::sleep_for(1s);
    vm.process->pause();
    CATCH_CHECK(withdrawRedKey(fixture));
    std::this_thread::sleep_for(4s);
    const std::uint64_t before = fixture.totalRuns("reads");
    // Peers that don't answer yet can't tell the VM of the withdrawal, so its own lease alone decides at first.
    const auto eachPeer = [&fixture](void (Harness::ChildProcess::*action)()) {
        for (std::size_t index = 0; index < stopped; ++index) {
            (fixture.fleet.vms()[index].process.get()->*action)();
        }
    };
    eachPeer(&Harness::ChildProcess::pause);
    vm.process->resume();
    for (int index = 0; index < 20; ++index) {
        CATCH_CHECK(fixture.fleet.call(stopped, "GET", "/reads/first", fixture.redKey).header("hyssophall-refusal") == "vm_isolated");
    }
    eachPeer(&Harness::ChildProcess::resume);
    std::this_thread::sleep_for(3s);
    stopping = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CATCH_CHECK(untrue == 0);
    CATCH_CHECK(fixture.totalRuns("reads") - before == 0);
    CATCH_REQUIRE(Harness::waitUntil(15s, [&fixture] { return fixture.fleet.call(stopped, "GET", "/reads/blue", fixture.blueKey).status == 200; }));
    CATCH_REQUIRE(fixture.fleet.call(stopped, "GET", "/reads/red", fixture.redKey).header("hyssophall-refusal") == "key_unknown");
}

// Guards against a VM that starts from an old copy of the catalogue on its disk and honours a key that was withdrawn meanwhile.
CATCH_TEST_CASE("A VM that restarts with an old copy of the catalogue never honours a withdrawn key", "[integration][key-isolation]")
{
    FleetFixture fixture(2, "", true);
    fixture.start();
    constexpr std::size_t restarted = 4;
    CATCH_REQUIRE(fixture.fleet.call(restarted, "GET", "/reads/before", fixture.redKey).status == 200);
    // The copy on disk is written within a second of a change.
    std::this_thread::sleep_for(3s);
    fixture.fleet.vms()[restarted].process->kill();
    CATCH_REQUIRE(withdrawRedKey(fixture));
    // Without any peer, the copy on its disk is all that the VM has.
    for (std::size_t index = 0; index < restarted; ++index) {
        fixture.fleet.vms()[index].process->pause();
    }
    CATCH_REQUIRE(fixture.fleet.startVm(restarted));
    const auto answers = [&fixture] { return fixture.fleet.call(restarted, "GET", "/reads/red", fixture.redKey).status != 0; };
    CATCH_CHECK(Harness::waitUntil(10s, answers));
    for (int index = 0; index < 20; ++index) {
        CATCH_CHECK(fixture.fleet.call(restarted, "GET", "/reads/red", fixture.redKey).header("hyssophall-refusal") == "vm_isolated");
    }
    for (std::size_t index = 0; index < restarted; ++index) {
        fixture.fleet.vms()[index].process->resume();
    }
    bool servesAgain = false;
    int honoured = 0;
    for (int index = 0; index < 500 && !servesAgain; ++index) {
        honoured += fixture.fleet.call(restarted, "GET", "/reads/red", fixture.redKey).status == 200 ? 1 : 0;
        servesAgain = index > 100 && fixture.fleet.call(restarted, "GET", "/reads/blue", fixture.blueKey).status == 200;
        std::this_thread::sleep_for(20ms);
    }
    CATCH_CHECK(honoured == 0);
    CATCH_CHECK(servesAgain);
    CATCH_CHECK(fixture.fleet.call(restarted, "GET", "/reads/red", fixture.redKey).header("hyssophall-refusal") == "key_unknown");
}
