#include "simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace Hyssophall::Tests;

namespace {

/// Counts shards with two holders, leases that are held, and epochs that decrease.
class LeaseCheck
{
public:
    void check(SimulatedFleet &fleet, bool checkEpochs)
    {
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            std::uint64_t epoch = this->epochs[shard];
            const std::size_t holders = fleet.holdersOf(shard, epoch);
            this->shardsWithTwoHolders += holders > 1 ? 1 : 0;
            this->heldLeases += holders;
            this->decreasedEpochs += checkEpochs && epoch < this->epochs[shard] ? 1 : 0;
            this->epochs[shard] = std::max(epoch, this->epochs[shard]);
        }
    }
    std::size_t shardsWithTwoHolders = 0;
    std::size_t decreasedEpochs = 0;
    std::size_t heldLeases = 0;

private:
    std::map<std::uint32_t, std::uint64_t> epochs;
};

void injectFault(SimulatedFleet &fleet)
{
    const std::size_t first = fleet.random()() % fleet.size();
    const std::size_t second = fleet.random()() % fleet.size();
    switch (fleet.random()() % 6) {
    case 0:
        fleet.setLinkBlocked(first, second, true);
        fleet.scheduleAfter(Milliseconds(6000), [&fleet, first, second] { fleet.setLinkBlocked(first, second, false); });
        break;
    case 1:
        fleet.isolate(first, true);
        fleet.scheduleAfter(Milliseconds(4000), [&fleet, first] { fleet.isolate(first, false); });
        break;
    case 2:
        fleet.setSuspended(first, true);
        fleet.scheduleAfter(Milliseconds(500 + fleet.random()() % 5000), [&fleet, first] { fleet.setSuspended(first, false); });
        break;
    case 3:
        fleet.restart(first);
        break;
    case 4:
        fleet.kill(first);
        fleet.scheduleAfter(Milliseconds(5000), [&fleet, first] { fleet.isAlive(first) ? void() : fleet.restart(first); });
        break;
    default:
        fleet.setClockRate(first, 0.95 + 0.1 * static_cast<double>(fleet.random()() % 1000) / 1000);
    }
}

} // namespace

// Guards against two VMs that own a shard at the same time, for instance because a holder counts its lease longer than the voters do,
// or a voter grants an epoch to two holders.
CATCH_TEST_CASE(
    "A shard never has two holders under blocked links, suspended VMs, restarts and clocks of different rates", "[lease][fleet-limit][ejection-floor]")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        SimulatedFleet fleet(seed == 1 ? 11 : 2 + seed, 3, seed);
        // An unreachable VM counts as dead at once, so that several VMs want the same shard and only the leases exclude a second holder.
        fleet.suspicionTimeout = Milliseconds(0);
        LeaseCheck check;
        for (int round = 0; round < 3000; ++round) {
            fleet.runFor(Milliseconds(20));
            if (round % 50 == 49) {
                injectFault(fleet);
            }
            check.check(fleet, false);
        }
        CATCH_INFO("seed " << seed);
        CATCH_REQUIRE(check.shardsWithTwoHolders == 0);
        CATCH_REQUIRE(check.heldLeases > 100000);
    }
}

// A restarted voter doesn't know what it granted. If it voted at once, it could complete a quorum for a second holder before the first one's
// lease ends.
CATCH_TEST_CASE(
    "A restarted voter, which has lost its votes, doesn't elect a second holder while the first still holds by its lost vote", "[lease][fleet-limit]")
{
    for (const std::uint64_t seed : {61, 62, 63}) {
        SimulatedFleet fleet(3, 3, seed);
        fleet.suspicionTimeout = Milliseconds(0);
        // VM 0 and VM 2 can't reach each other and each consider the other dead, so the vote of VM 1 alone decides between them.
        fleet.setLinkBlocked(0, 2, true);
        fleet.setLinkBlocked(2, 0, true);
        LeaseCheck check;
        for (int round = 0; round < 800; ++round) {
            fleet.runFor(Milliseconds(20));
            check.check(fleet, false);
            if (round % 200 == 150) {
                fleet.restart(1);
            }
        }
        CATCH_REQUIRE(check.shardsWithTwoHolders == 0);
        CATCH_REQUIRE(check.heldLeases > 10000);
    }
}

// A slow clock makes the holder count its lease longer, and fast clocks make the voters count it shorter. Without the 10% safety margin, a
// second holder could start before the first one stops.
CATCH_TEST_CASE("A partitioned holder with a clock 5% slow stops before voters with clocks 5% fast grant the lease again", "[lease][fleet-limit]")
{
    for (const std::uint64_t seed : {71, 72, 73}) {
        SimulatedFleet fleet(3, 3, seed);
        fleet.suspicionTimeout = Milliseconds(0);
        fleet.setClockRate(0, 0.95);
        fleet.setClockRate(1, 1.05);
        fleet.setClockRate(2, 1.05);
        fleet.runFor(Milliseconds(2000));
        fleet.isolate(0, true);
        LeaseCheck check;
        for (int round = 0; round < 600; ++round) {
            fleet.runFor(Milliseconds(5));
            check.check(fleet, false);
        }
        CATCH_REQUIRE(check.shardsWithTwoHolders == 0);
    }
}

// Guards against shards that stay without a holder after a VM fails, and against epochs that decrease from one holder to the next.
CATCH_TEST_CASE("Shards move to successors with greater epochs when VMs fail one after the other", "[lease][fleet-limit]")
{
    SimulatedFleet fleet(9, 3, 7);
    LeaseCheck check;
    fleet.runFor(Milliseconds(1000));
    std::uint64_t epoch = 0;
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        CATCH_REQUIRE(fleet.holdersOf(shard, epoch) == 1);
    }
    for (std::size_t lost = 0; lost < 9; ++lost) {
        fleet.kill(lost);
        for (int round = 0; round < 300; ++round) {
            fleet.runFor(Milliseconds(20));
            check.check(fleet, true);
        }
        // 6 s cover the suspicion timeout of 3 s and the rest of the lost holder's lease of 2 s.
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            CATCH_REQUIRE(fleet.holdersOf(shard, epoch) == 1);
        }
        fleet.restart(lost);
        fleet.runFor(Milliseconds(8000));
    }
    CATCH_REQUIRE(check.shardsWithTwoHolders == 0);
    CATCH_REQUIRE(check.decreasedEpochs == 0);
}

// A VM without contact doesn't learn that a key was withdrawn. It must stop serving, and resume only after its catalogue is up to date.
CATCH_TEST_CASE("A partitioned VM loses its serving lease within 3 s and regains it only with the catalogue version of the others", "[lease][key-isolation]")
{
    SimulatedFleet fleet(7, 3, 8);
    fleet.runFor(Milliseconds(1000));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        CATCH_REQUIRE(fleet.node(index).servingLease().isHeld());
    }
    fleet.isolate(2, true);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.setCatalogueVersion(index, index == 2 ? 1 : 2);
    }
    fleet.runFor(Milliseconds(3000));
    CATCH_REQUIRE_FALSE(fleet.node(2).servingLease().isHeld());
    CATCH_REQUIRE(fleet.node(3).servingLease().isHeld());
    fleet.isolate(2, false);
    // A key may have been withdrawn in the catalogue version that this VM lacks, so it must not serve yet.
    for (int round = 0; round < 500; ++round) {
        fleet.runFor(Milliseconds(10));
        CATCH_REQUIRE_FALSE(fleet.node(2).servingLease().isHeld());
    }
    fleet.setCatalogueVersion(2, 2);
    fleet.runFor(Milliseconds(4000));
    CATCH_REQUIRE(fleet.node(2).servingLease().isHeld());
}

// A VM that still reaches its voters but receives no new catalogue versions must stop serving, because it may accept withdrawn keys.
CATCH_TEST_CASE("A VM whose catalogue stays older than the version that voters report loses its serving lease", "[lease][key-isolation]")
{
    SimulatedFleet fleet(5, 3, 9);
    fleet.runFor(Milliseconds(1000));
    fleet.setCatalogueVersion(0, 2);
    fleet.setCatalogueVersion(1, 2);
    // A renewal that is already in flight may still succeed once, then the lease expires.
    fleet.runFor(Milliseconds(4000));
    CATCH_REQUIRE_FALSE(fleet.node(4).servingLease().isHeld());
    CATCH_REQUIRE(fleet.node(0).servingLease().isHeld());
}

// A voter that lost its records, or whose roster differs too much from the holder's, could complete a quorum that shares no voter with the
// quorum of the current holder.
CATCH_TEST_CASE("A voter abstains after a restart, and refuses rosters too far from its own and VMs outside its roster", "[lease]")
{
    std::vector<CatalogueMessages::Member> members(2);
    members[0].set_id("a");
    members[0].set_admitted_incarnation(5);
    members[1].set_id("b");
    const Roster roster(10, members);
    const SteadyTime start{std::chrono::hours(1)};
    FleetMessages::GrantLeasesRequest request;
    request.set_holder("b");
    request.set_roster_version(12);
    request.add_leases()->set_name("shard:1");
    request.mutable_leases(0)->set_duration_milliseconds(2000);

    LeaseVoter restarted({}, "a", 6, start);
    CATCH_REQUIRE_FALSE(restarted.grant(request, roster, 1, start + Milliseconds(2999)).voting());
    CATCH_REQUIRE(restarted.grant(request, roster, 1, start + Milliseconds(3000)).grants(0).granted());
    LeaseVoter admitted({}, "a", 5, start);
    CATCH_REQUIRE(admitted.grant(request, roster, 1, start).grants(0).granted());
    request.set_roster_version(13);
    CATCH_REQUIRE_FALSE(admitted.grant(request, roster, 1, start).voting());
    request.set_roster_version(10);
    request.set_holder("c");
    CATCH_REQUIRE_FALSE(admitted.grant(request, roster, 1, start).voting());
}

// A message that arrives late must not end a newer grant of the same holder, and must not renew an epoch that another holder has since superseded.
CATCH_TEST_CASE("A delayed release or renewal of a past grant has no effect", "[lease]")
{
    std::vector<CatalogueMessages::Member> members(3);
    members[0].set_id("a");
    members[1].set_id("b");
    members[2].set_id("c");
    const Roster roster(1, members);
    const SteadyTime start{std::chrono::hours(1)};
    LeaseVoter voter({}, "c", 1, start - std::chrono::hours(1));
    const auto ask = [&](const std::string &holder, std::uint64_t epoch, bool release, Milliseconds time) {
        FleetMessages::GrantLeasesRequest request;
        request.set_holder(holder);
        request.set_roster_version(1);
        FleetMessages::LeaseRequest &lease = *request.add_leases();
        lease.set_name("shard:1");
        lease.set_duration_milliseconds(2000);
        lease.set_epoch(epoch);
        lease.set_release(release);
        return voter.grant(request, roster, 1, start + time).grants(0);
    };
    CATCH_REQUIRE(ask("a", 0, false, Milliseconds(0)).epoch() == 1);
    CATCH_REQUIRE(ask("a", 0, false, Milliseconds(10)).epoch() == 2);
    ask("a", 1, true, Milliseconds(20));
    CATCH_REQUIRE_FALSE(ask("b", 0, false, Milliseconds(30)).granted());
    ask("a", 2, true, Milliseconds(40));
    CATCH_REQUIRE(ask("b", 0, false, Milliseconds(50)).epoch() == 3);
    CATCH_REQUIRE_FALSE(ask("a", 2, false, Milliseconds(5000)).granted());
}
