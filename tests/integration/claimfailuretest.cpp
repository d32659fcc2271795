#include "fleetfixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Harness::HttpResponse;
using Tests::FleetFixture;

namespace {

HttpResponse sendOrder(FleetFixture &fixture, std::size_t vm, const std::string &key)
{
    return fixture.fleet.call(vm, "POST", "/orders/" + key, fixture.redKey, "order " + key, {{"Idempotency-Key", key}});
}

/// Sends an order again to all VMs that live and compares with the emulators' record each time.
void requireNoSecondRun(FleetFixture &fixture, const std::string &key)
{
    for (std::size_t vm = 0; vm < fixture.fleet.vms().size(); ++vm) {
        if (fixture.fleet.vms()[vm].process->waitForExit(0ms)) {
            continue;
        }
        const HttpResponse answer = sendOrder(fixture, vm, key);
        CATCH_INFO(key << " over " << vm << ": " << answer.status << " " << answer.body);
        CATCH_CHECK(fixture.runsOf(key) == 1);
        CATCH_CHECK((answer.status != 200 || answer.header("idempotent-replayed") == "true"));
    }
}

void setFaultsOfAll(FleetFixture &fixture, const nlohmann::json &faults)
{
    for (const std::unique_ptr<Harness::TestFleet::Upstream> &upstream : fixture.fleet.upstreams()) {
        fixture.fleet.setFaults(*upstream, faults);
    }
}

} // namespace

// Guards against claims that are lost with the VMs that hold them, one after the other, or forgotten by a VM that comes back empty.
CATCH_TEST_CASE("An order never runs again after the loss of its VM, of a second one, and the first one's return", "[integration][at-most-once]")
{
    FleetFixture fixture(2);
    fixture.start();
    for (int index = 0; index < 5; ++index) {
        CATCH_REQUIRE(sendOrder(fixture, 4, "done-" + std::to_string(index)).status == 200);
    }
    setFaultsOfAll(fixture, {{"mode", "hang"}, {"delay_ms", 1500}});
    std::thread caller([&fixture] { sendOrder(fixture, 4, "cut-off"); });
    CATCH_REQUIRE(Harness::waitUntil(5s, [&fixture] { return fixture.runsOf("cut-off") == 1; }));
    fixture.fleet.vms()[4].process->kill();
    caller.join();
    setFaultsOfAll(fixture, {{"mode", "none"}});
    const auto requireAll = [&fixture] {
        requireNoSecondRun(fixture, "cut-off");
        for (int index = 0; index < 5; ++index) {
            requireNoSecondRun(fixture, "done-" + std::to_string(index));
        }
    };
    requireAll();
    // The second loss leaves three of five, below the quorum of four.
    fixture.fleet.vms()[3].process->kill();
    requireAll();
    CATCH_REQUIRE(fixture.fleet.startVm(4));
    for (int round = 0; round < 10; ++round) {
        requireAll();
        std::this_thread::sleep_for(500ms);
    }
    CATCH_REQUIRE(fixture.fleet.startVm(3));
    for (int round = 0; round < 10; ++round) {
        requireAll();
        std::this_thread::sleep_for(500ms);
    }
    CATCH_REQUIRE(Harness::waitUntil(20s, [&fixture] { return sendOrder(fixture, 3, "new-order").status == 200; }));
    // In the end, each VM has lost its memory once; the claims live on as copies that restarted VMs fetched.
    for (std::size_t vm = 0; vm < 3; ++vm) {
        fixture.fleet.vms()[vm].process->kill();
        CATCH_REQUIRE(fixture.fleet.startVm(vm));
        std::this_thread::sleep_for(6s);
    }
    requireAll();
}

// Guards against a fleet whose VMs all lost their memory and that takes an order it has run for a new one.
CATCH_TEST_CASE(
    "A fleet that restarted as a whole refuses orders with keys until its claims' retention has passed", "[integration][at-most-once][true-refusal]")
{
    constexpr std::chrono::seconds retention{20};
    FleetFixture fixture(1, "[claims]\nretention_s = " + std::to_string(retention.count()) + "\n");
    fixture.start();
    CATCH_REQUIRE(sendOrder(fixture, 0, "before").status == 200);
    for (Harness::TestFleet::Vm &vm : fixture.fleet.vms()) {
        vm.process->kill();
    }
    const std::chrono::steady_clock::time_point restarted = std::chrono::steady_clock::now();
    for (std::size_t vm = 0; vm < fixture.fleet.vms().size(); ++vm) {
        CATCH_REQUIRE(fixture.fleet.startVm(vm));
    }
    const auto reads = [&fixture] { return fixture.fleet.call(0, "GET", "/reads/again", fixture.redKey).status == 200; };
    CATCH_REQUIRE(Harness::waitUntil(15s, reads));
    int refused = 0;
    while (std::chrono::steady_clock::now() - restarted < retention - 1s) {
        const HttpResponse answer = sendOrder(fixture, static_cast<std::size_t>(refused) % 4, "before");
        CATCH_INFO(answer.status << " " << answer.body);
        CATCH_CHECK(answer.header("hyssophall-outcome") == "not-run");
        refused += answer.header("hyssophall-refusal") == "claim_unavailable" ? 1 : 0;
        CATCH_CHECK(fixture.runsOf("before") == 1);
        std::this_thread::sleep_for(200ms);
    }
    CATCH_CHECK(refused > 0);
    CATCH_REQUIRE(Harness::waitUntil(15s, [&fixture] { return sendOrder(fixture, 0, "after").status == 200; }));
}
