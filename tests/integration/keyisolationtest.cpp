#include "fleetfixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Harness::HttpAnswer;
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
        const HttpAnswer answer = fixture.fleet.call(alone, "POST", path, fixture.redKey, "body");
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
    CATCH_REQUIRE(fixture.fleet.call(stopped, "GET", "/reads/before", fixture.redKey).status == 200);
    vm.process->pause();
    // Requests that arrive during the pause wait in the kernel and are the first to be judged after it.
    std::vector<HttpAnswer> answers(8);
    std::vector<std::thread> callers;
    CATCH_REQUIRE(withdrawRedKey(fixture));
    std::this_thread::sleep_for(4s);
    for (std::size_t caller = 0; caller < answers.size(); ++caller) {
        callers.emplace_back([&, caller] { answers[caller] = fixture.fleet.call(stopped, "POST", "/orders/late-" + std::to_string(caller), fixture.redKey); });
    }
    std::this_thread::sleep_for(300ms);
    vm.process->resume();
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (std::size_t caller = 0; caller < answers.size(); ++caller) {
        CATCH_INFO(answers[caller].status << " " << answers[caller].body);
        CATCH_CHECK(answers[caller].status != 200);
        CATCH_CHECK(answers[caller].header("hyssophall-outcome") == "not-run");
        CATCH_CHECK(fixture.runsOf("POST /orders/late-" + std::to_string(caller)) == 0);
    }
    for (int index = 0; index < 100; ++index) {
        CATCH_CHECK(fixture.fleet.call(stopped, "GET", "/reads/late", fixture.redKey).status != 200);
        std::this_thread::sleep_for(30ms);
    }
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
    CATCH_REQUIRE(fixture.fleet.startVm(restarted));
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
