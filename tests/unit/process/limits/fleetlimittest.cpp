#include "teamload.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace Hyssophall::Tests;

namespace {

std::size_t ownerOf(SimulatedFleet &fleet, const std::string &team)
{
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.isAlive(index) && fleet.node(index).shardLeases().heldEpoch(shardOf("team:" + team))) {
            return index;
        }
    }
    return fleet.size();
}

} // namespace

// Guards against tokens that are granted twice when a shard gets a new owner while the former one is restarted, cut off or stopped, and against
// tokens that a stopped VM still uses afterwards.
CATCH_TEST_CASE("A team that sends five times its rate gets no more than rate x time + burst through lost owners, cuts and stops", "[fleet-limit]")
{
    for (const std::uint64_t seed : {11, 12, 13, 14}) {
        SimulatedFleet fleet(7, 3, seed);
        const TeamLimit limit{100, 20};
        fleet.teams["red"] = limit;
        TeamLoad load(fleet, "red");
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            load.add(vm, vm == 0 ? 200 : 50, Milliseconds(40000));
        }
        for (int round = 0; round < 10; ++round) {
            load.run(Milliseconds(2500));
            const std::size_t owner = ownerOf(fleet, "red");
            if (owner < fleet.size()) {
                const std::uint64_t fault = fleet.random()() % 4;
                fault == 0       ? fleet.restart(owner)
                    : fault == 1 ? fleet.isolate(owner, true)
                    : fault == 2 ? fleet.setSuspended(owner, true)
                                 : fleet.setLinkBlocked(owner, 0, true);
            }
            load.run(Milliseconds(1500));
            for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
                fleet.isolate(vm, false);
                fleet.setSuspended(vm, false);
            }
        }
        const double seconds = std::chrono::duration<double>(fleet.elapsed()).count();
        CATCH_INFO("seed " << seed << " grants " << load.grants.size() << " limited " << load.limited << " unavailable " << load.unavailable << " excess "
                           << load.greatestExcess(limit.rate));
        CATCH_REQUIRE(static_cast<double>(load.grants.size()) <= limit.rate * seconds + limit.burst);
        CATCH_REQUIRE(load.greatestExcess(limit.rate) <= limit.burst + 0.5 * limit.rate);
        CATCH_REQUIRE(load.grants.size() > 1000);
        CATCH_REQUIRE(load.limited > 0);
    }
}

// Guards against false refusals because tokens lie on VMs that don't need them, or because one VM gets all of a team's requests.
CATCH_TEST_CASE("No call inside the rate is refused when the load is uneven or all on one VM", "[fleet-limit]")
{
    for (const bool oneVm : {false, true}) {
        SimulatedFleet fleet(9, 3, 21);
        fleet.teams["red"] = TeamLimit{200, 20};
        fleet.teams["small"] = TeamLimit{10, 4};
        fleet.runFor(Milliseconds(2000));
        TeamLoad red(fleet, "red");
        TeamLoad small(fleet, "small");
        if (oneVm) {
            red.add(3, 196, Milliseconds(20000));
            small.add(4, 9.8, Milliseconds(20000));
        } else {
            // 120 + 7 x 10 = 190 calls a second, and 8 x 1.2 = 9.6.
            red.add(0, 120, Milliseconds(20000));
            for (std::size_t vm = 1; vm < 8; ++vm) {
                red.add(vm, 10, Milliseconds(20000));
            }
            for (std::size_t vm = 0; vm < 8; ++vm) {
                // Each VM starts at another time, because eight calls at the same moment would exceed the burst.
                small.add(vm, 1.2, Milliseconds(20000), static_cast<double>(vm) / 8);
            }
        }
        for (int round = 0; round < 42; ++round) {
            red.run(Milliseconds(250));
            small.run(Milliseconds(250));
        }
        CATCH_INFO("limited " << red.limited << " " << small.limited << " unavailable " << red.unavailable << " " << small.unavailable);
        CATCH_REQUIRE(red.limited + small.limited + red.unavailable + small.unavailable == 0);
        CATCH_REQUIRE(red.grants.size() == red.calls);
        CATCH_REQUIRE(small.grants.size() == small.calls);
    }
}

// Guards against a refusal with the wrong reason: a team that isn't known to be over its rate must not be reported as rate limited.
CATCH_TEST_CASE("A VM that can't reach the owner says unavailable and one that can says limited", "[fleet-limit][true-refusal]")
{
    SimulatedFleet fleet(7, 3, 31);
    fleet.teams["red"] = TeamLimit{1, 1};
    fleet.runFor(Milliseconds(1500));
    const std::size_t owner = ownerOf(fleet, "red");
    CATCH_REQUIRE(owner < fleet.size());
    const std::size_t other = (owner + 1) % fleet.size();
    TeamLoad load(fleet, "red");
    load.add(other, 20, Milliseconds(1000));
    load.run(Milliseconds(1500));
    CATCH_REQUIRE(load.limited > 10);
    CATCH_REQUIRE(load.unavailable == 0);
    const std::size_t limited = load.limited;
    // Only the replies are lost. The owner must not lend again what it lent in them.
    fleet.setLinkBlocked(owner, other, true);
    load.add(other, 20, Milliseconds(1000));
    load.run(Milliseconds(1500));
    CATCH_REQUIRE(load.unavailable > 10);
    CATCH_REQUIRE(load.limited == limited);
}
