#include "fleetfixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Harness::HttpResponse;
using Tests::FleetFixture;

namespace {

/// Callers behind a balancer that sends to a VM only while its /ready says so, as the platform's does.
class BalancedLoad
{
public:
    explicit BalancedLoad(FleetFixture &fixture)
        : ready(fixture.fleet.vms().size())
    {
        this->threads.emplace_back([this, &fixture] { this->watch(fixture); });
        for (std::size_t caller = 0; caller < 6; ++caller) {
            this->threads.emplace_back([this, &fixture, caller] { this->call(fixture, caller); });
        }
    }

    ~BalancedLoad()
    {
        this->stop();
    }

    void stop()
    {
        this->stopping = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    std::atomic<int> answered{0};
    std::atomic<int> failed{0};
    std::mutex mutex;
    std::string failures;

private:
    void watch(FleetFixture &fixture)
    {
        while (!this->stopping) {
            for (std::size_t vm = 0; vm < this->ready.size(); ++vm) {
                this->ready[vm] = Harness::get("http://" + fixture.fleet.vms()[vm].administrationAddress + "/ready").status == 200;
            }
            std::this_thread::sleep_for(100ms);
        }
    }

    void call(FleetFixture &fixture, std::size_t caller)
    {
        for (int index = 0; !this->stopping; ++index) {
            const std::size_t vm = (caller + static_cast<std::size_t>(index)) % this->ready.size();
            if (!this->ready[vm]) {
                std::this_thread::sleep_for(5ms);
                continue;
            }
            const bool isOrder = index % 2 == 0;
            const std::string path = (isOrder ? "/orders/" : "/reads/") + std::to_string(caller) + "-" + std::to_string(index);
            const HttpResponse answer = fixture.fleet.call(vm, isOrder ? "POST" : "GET", path, fixture.redKey);
            if (answer.status == 200) {
                ++this->answered;
            } else {
                ++this->failed;
                std::lock_guard<std::mutex> lock(this->mutex);
                this->failures += fixture.fleet.vms()[vm].id + " " + path + ": " + std::to_string(answer.status) + " " + answer.body + "\n";
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    std::atomic<bool> stopping{false};
    std::vector<std::atomic<bool>> ready;
    std::vector<std::thread> threads;
};

} // namespace

// Guards against requests that fail because a VM shuts down, and shards that stay without owner because it left.
CATCH_TEST_CASE("Restarting all VMs one after the other under load fails no request", "[integration][graceful-shutdown]")
{
    FleetFixture fixture(1, "[shutdown]\ndrain_notice_ms = 1000\n");
    fixture.start();
    BalancedLoad load(fixture);
    std::this_thread::sleep_for(1s);
    for (std::size_t index = 0; index < fixture.fleet.vms().size(); ++index) {
        Harness::TestFleet::Vm &vm = fixture.fleet.vms()[index];
        vm.process->terminate();
        CATCH_CHECK(vm.process->waitForExit(40s) == 0);
        CATCH_REQUIRE(fixture.fleet.startVm(index));
        CATCH_REQUIRE(Harness::waitUntil(30s, [&vm] { return Harness::get("http://" + vm.administrationAddress + "/ready").status == 200; }));
        // Its peers' leases and the shards' owners settle before the next one goes.
        std::this_thread::sleep_for(5s);
    }
    load.stop();
    CATCH_INFO(load.answered << " answered\n" << load.failures);
    CATCH_CHECK(load.failed == 0);
    CATCH_CHECK(load.answered > 500);
}

// Guards against new work for an instance that leaves while requests go on over all VMs.
CATCH_TEST_CASE("An upstream that leaves under load gets no new work after a few seconds and costs no request", "[integration][leaving-upstream]")
{
    FleetFixture fixture(2);
    fixture.start(3, 3);
    BalancedLoad load(fixture);
    std::this_thread::sleep_for(1s);
    std::vector<const Harness::TestFleet::Upstream *> leaving;
    for (const std::unique_ptr<Harness::TestFleet::Upstream> &upstream : fixture.fleet.upstreams()) {
        if (upstream->id.ends_with("-0")) {
            leaving.push_back(upstream.get());
            Harness::HttpRequest leave;
            leave.method = "POST";
            leave.url = "http://127.0.0.1:" + std::to_string(upstream->port) + "/_emulator/leave";
            Harness::send(leave);
        }
    }
    std::this_thread::sleep_for(3s);
    std::vector<std::uint64_t> before;
    for (const Harness::TestFleet::Upstream *upstream : leaving) {
        before.push_back(fixture.fleet.record(*upstream)["total"].get<std::uint64_t>());
    }
    std::this_thread::sleep_for(3s);
    for (std::size_t index = 0; index < leaving.size(); ++index) {
        CATCH_CHECK(fixture.fleet.record(*leaving[index])["total"].get<std::uint64_t>() == before[index]);
    }
    load.stop();
    CATCH_INFO(load.answered << " answered\n" << load.failures);
    CATCH_CHECK(load.failed == 0);
}
