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

constexpr double rate = 40;
constexpr double burst = 20;

/// Five times the rate of the team "red" over all VMs until it is destroyed.
class Load
{
public:
    explicit Load(FleetFixture &fixture)
        : begin(std::chrono::steady_clock::now())
        , before(fixture.totalRuns("reads"))
    {
        for (std::size_t caller = 0; caller < 20; ++caller) {
            this->callers.emplace_back([this, &fixture, caller] {
                while (!this->stopping) {
                    const std::size_t vm = caller % fixture.fleet.vms().size();
                    const HttpResponse answer = fixture.fleet.call(vm, "GET", "/reads/load", fixture.redKey, "", {{"X-Request-Timeout-Ms", "2000"}});
                    this->served += answer.status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(100ms);
                }
            });
        }
    }

    ~Load()
    {
        this->stop();
    }

    void stop()
    {
        this->stopping = true;
        for (std::thread &caller : this->callers) {
            caller.join();
        }
        this->callers.clear();
    }

    /// What the team may have received at most since the load began.
    double bound() const
    {
        return rate * std::chrono::duration<double>(std::chrono::steady_clock::now() - this->begin).count() + burst;
    }

    const std::chrono::steady_clock::time_point begin;
    const std::uint64_t before;
    std::atomic<int> served{0};

private:
    std::atomic<bool> stopping{false};
    std::vector<std::thread> callers;
};

/// Compares what upstreams ran with the bound while the load goes on.
void requireBound(FleetFixture &fixture, const Load &load, std::chrono::milliseconds time)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        const std::uint64_t ran = fixture.totalRuns("reads") - load.before;
        CATCH_CHECK(static_cast<double>(ran) <= load.bound());
        std::this_thread::sleep_for(200ms);
    }
}

} // namespace

// Guards against a successor that gives away a burst anew, and against a stopped owner that lends on after its lease.
CATCH_TEST_CASE("Killed and stopped owners of a team's bucket never add to its rate", "[integration][fleet-limit]")
{
    FleetFixture fixture(4);
    fixture.start();
    CATCH_REQUIRE(fixture.fleet.putTeam("red", rate, burst));
    CATCH_REQUIRE(fixture.fleet.waitInForce());
    // Tokens that were lent under the larger burst of before are returned or used up.
    std::this_thread::sleep_for(2s);
    Load load(fixture);
    requireBound(fixture, load, 2s);
    const std::size_t killed = fixture.shardOwner("team:red");
    fixture.fleet.vms()[killed].process->kill();
    requireBound(fixture, load, 8s);
    const std::size_t successor = fixture.shardOwner("team:red", {killed});
    fixture.fleet.vms()[successor].process->pause();
    requireBound(fixture, load, 5s);
    fixture.fleet.vms()[successor].process->resume();
    requireBound(fixture, load, 8s);
    load.stop();
    const std::uint64_t ran = fixture.totalRuns("reads") - load.before;
    CATCH_INFO(ran << " ran, " << load.served << " served, bound " << load.bound());
    CATCH_CHECK(static_cast<double>(ran) <= load.bound());
    // The team gets tokens again from each successor: at least a quarter of its rate over outages of half the time.
    CATCH_CHECK(load.served >= load.bound() / 4);
}
