#include "unit/process/control/simulatedgroup.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Hyssophall;

namespace {

using std::chrono::milliseconds;

/// Proposes changes one after another. Each is retried until the leader has an outcome for it.
void proposeUntilDecided(SimulatedGroup &group, const std::string &prefix, int count)
{
    for (int number = 0; number < count; ++number) {
        const std::string changeId = prefix + std::to_string(number);
        const bool decided = group.runUntil([&group, &changeId] {
            const std::size_t leader = group.leader();
            if (leader < group.nodes.size() && group.decidedAt(leader, changeId)) {
                return true;
            }
            group.propose(changeId);
            group.run(milliseconds(60));
            return false;
        });
        if (!decided) {
            group.violations.push_back(changeId + " is never decided");
        }
    }
}

void requireNoViolations(SimulatedGroup &group)
{
    group.checkAgreement();
    CATCH_REQUIRE(group.violations == std::vector<std::string>());
}

void restart(SimulatedGroup &group, std::size_t node)
{
    if (!group.nodes[node].replica || group.nodes[node].replica->isHalted()) {
        group.kill(node);
        group.start(node);
    }
}

/// Removes a replica from the group, or adds it again if it was removed.
void changeGroup(SimulatedGroup &group, std::size_t node)
{
    const std::size_t leader = group.leader();
    if (leader == group.nodes.size() || !group.nodes[node].replica) {
        return;
    }
    RaftReplica &replica = *group.nodes[leader].replica;
    if (ReplicaGroup::find(replica.log().configuration(), group.nodes[node].id) != nullptr) {
        replica.removeReplica(group.nodes[node].id);
    } else {
        replica.putReplica(group.replicaOf(node));
    }
}

bool isVoter(const SimulatedGroup &group, std::size_t node)
{
    const std::size_t leader = group.leader();
    return leader < group.nodes.size()
        && ReplicaGroup::hasVoter(group.nodes[leader].replica->log().configuration(), group.nodes[node].id, group.nodes[node].replica->diskIncarnation());
}

} // namespace

CATCH_TEST_CASE("A replica that fails at any write or sync point loses no accepted change", "[control-log][config-in-force]")
{
    // Guards against entries that are acknowledged before they are durable, and against a start that misreads a file that a crash left incomplete.
    // Each run lets one replica's disk fail at the next write or sync operation and crashes it afterwards.
    bool reached = true;
    for (std::uint64_t operation = 1; reached; ++operation) {
        SimulatedGroup group(3, operation);
        group.compactEvery = 4;
        group.bootstrap();
        const std::size_t victim = operation % 3;
        group.nodes[victim].disk->failAt(operation);
        proposeUntilDecided(group, "a", 6);
        reached = group.nodes[victim].disk->hasFailed();
        group.kill(victim);
        group.start(victim);
        proposeUntilDecided(group, "b", 3);
        CATCH_INFO("operation " << operation);
        requireNoViolations(group);
        CATCH_REQUIRE(operation < 1000);
    }
}

CATCH_TEST_CASE("Random kills, cuts, pauses and losses leave the logs equal", "[control-log][config-in-force]")
{
    // Guards against two leaders in one term, committed entries that are lost or replaced, and a group that doesn't recover from its failures.
    // Each seed gives another sequence of failures, disk errors and group changes.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SimulatedGroup group(seed % 2 == 0 ? 3 : 5, seed);
        group.compactEvery = 3 + seed % 20;
        group.bootstrap();
        group.lossPercent = 10;
        for (int round = 0; round < 100; ++round) {
            const std::size_t node = group.random() % group.nodes.size();
            const std::size_t other = group.random() % group.nodes.size();
            switch (group.random() % 9) {
            case 0:
                group.kill(node);
                break;
            case 1:
                group.cutLink(node, other);
                break;
            case 2:
                group.pause(node, milliseconds(group.random() % 3000));
                break;
            case 3:
                group.heal();
                group.lossPercent = 10;
                break;
            case 4:
                group.nodes[node].disk->failAt(1 + group.random() % 30);
                break;
            case 5:
                changeGroup(group, node);
                break;
            default:
                restart(group, node);
                restart(group, other);
            }
            for (std::uint64_t burst = group.random() % 4; burst > 0; --burst) {
                group.propose("change-" + std::to_string(group.random() % 300));
                group.run(milliseconds(group.random() % 20));
            }
            group.run(milliseconds(group.random() % 700));
        }
        CATCH_INFO("seed " << seed);
        requireNoViolations(group);
    }
}

CATCH_TEST_CASE("A leader whose messages reach its followers but that receives no replies steps down", "[control-log]")
{
    // Guards against a leader that can't commit but whose heartbeats prevent its followers from electing another. Both directions are cut in turn.
    for (const bool outgoing : {true, false}) {
        SimulatedGroup group(3, 7);
        group.bootstrap();
        const std::size_t old = group.leader();
        for (std::size_t node = 0; node < 3; ++node) {
            if (node != old) {
                outgoing ? group.cutLink(old, node) : group.cutLink(node, old);
            }
        }
        CATCH_REQUIRE(group.runUntil([&group, old] { return group.leader() < 3 && group.leader() != old; }));
        CATCH_REQUIRE_FALSE(group.nodes[old].replica->isLeading());
        proposeUntilDecided(group, "a", 3);
        requireNoViolations(group);
    }
}

CATCH_TEST_CASE("A leader whose followers are late for less than two election timeouts keeps leading in its term", "[control-log]")
{
    // Guards against an election, after which the VMs of all relays must be told of a new leader, for each moment in which control VMs lack processor time.
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        CATCH_CAPTURE(seed);
        SimulatedGroup group(5, seed);
        group.bootstrap();
        proposeUntilDecided(group, "a", 5);
        const std::size_t leader = group.leader();
        const std::uint64_t term = group.nodes[leader].replica->term();
        for (std::size_t node = 0; node < 5; ++node) {
            if (node != leader) {
                group.pause(node, milliseconds(900));
            }
        }
        group.run(milliseconds(800));
        // Without the replies of a majority, it doesn't know whether another replica leads.
        CATCH_CHECK_FALSE(group.nodes[leader].replica->isLeading());
        CATCH_CHECK_FALSE(group.nodes[leader].replica->isUpToDate());
        group.run(milliseconds(1200));
        CATCH_CHECK(group.leader() == leader);
        CATCH_CHECK(group.nodes[leader].replica->term() == term);
        requireNoViolations(group);
    }
}

CATCH_TEST_CASE("A leader that was paused past its lease decides nothing when it resumes", "[control-log]")
{
    // Guards against a replica that still considers itself the leader after a pause in which another one was elected, and commits its own entry.
    SimulatedGroup group(3, 11);
    group.bootstrap();
    proposeUntilDecided(group, "a", 2);
    const std::size_t old = group.leader();
    group.pause(old, milliseconds(5000));
    CATCH_REQUIRE(group.runUntil([&group, old] { return group.leader() < 3 && group.leader() != old; }));
    proposeUntilDecided(group, "b", 2);
    CATCH_REQUIRE_FALSE(group.nodes[old].replica->isLeading());
    group.proposeAt(old, "stale", 2);
    group.run(milliseconds(6000));
    CATCH_REQUIRE_FALSE(group.decidedAt(group.leader(), "stale"));
    requireNoViolations(group);
}

CATCH_TEST_CASE("A replica that reconnects after a network partition doesn't depose the leader", "[control-log]")
{
    // Guards against elections without pre-vote: a partitioned replica raises its term again and again, and deposes the leader when it reconnects.
    SimulatedGroup group(5, 13);
    group.bootstrap();
    const std::size_t leader = group.leader();
    const std::size_t isolated = (leader + 1) % 5;
    const std::uint64_t term = group.nodes[leader].replica->term();
    for (std::size_t node = 0; node < 5; ++node) {
        group.cutLink(node, isolated);
    }
    group.run(milliseconds(20000));
    group.heal();
    group.run(milliseconds(5000));
    CATCH_REQUIRE(group.leader() == leader);
    CATCH_REQUIRE(group.nodes[leader].replica->term() == term);
}

CATCH_TEST_CASE("A lost disk isn't counted until it is replaced, also when a second VM is lost", "[control-log][config-in-force]")
{
    // Guards against a majority that includes an empty disk, which no longer has the entries that the replica acknowledged before it lost its disk.
    SimulatedGroup group(3, 17);
    group.bootstrap();
    proposeUntilDecided(group, "a", 3);
    const std::size_t leader = group.leader();
    const std::size_t lost = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    group.loseDisk(lost);
    group.start(lost);
    group.kill(second);
    group.run(milliseconds(5000));
    CATCH_REQUIRE(group.leader() == 3);

    group.start(second);
    CATCH_REQUIRE(group.runUntil([&group] { return group.leader() < 3; }));
    CATCH_REQUIRE_FALSE(isVoter(group, lost));
    CATCH_REQUIRE(group.nodes[group.leader()].replica->putReplica(group.replicaOf(lost)) == RaftReplica::GroupChangeResult::Appended);
    CATCH_REQUIRE(group.runUntil([&group, lost] { return isVoter(group, lost); }));
    proposeUntilDecided(group, "b", 3);

    // Once the replica with the new disk is a voter, the group must tolerate the loss of another VM.
    group.kill(second);
    proposeUntilDecided(group, "c", 3);
    requireNoViolations(group);
}

CATCH_TEST_CASE("A replica on an older disk doesn't vote until it holds what it acknowledged", "[control-log][config-in-force]")
{
    // Guards against a replica whose disk was restored from an older copy and that votes for a candidate without the accepted changes.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimulatedGroup group(3, seed);
        group.compactEvery = seed % 2 == 0 ? 3 : 1000;
        group.bootstrap();
        const std::size_t leader = group.leader();
        const std::size_t outdated = (leader + 1) % 3;
        const std::size_t slow = (leader + 2) % 3;
        proposeUntilDecided(group, "a", 2);
        SimulatedDisk older(seed);
        older.copyFrom(*group.nodes[outdated].disk);
        // The third replica misses the changes, so that only the leader and the replica with the older disk have acknowledged them.
        group.cutLink(leader, slow);
        group.cutLink(outdated, slow);
        proposeUntilDecided(group, "b", 5);
        group.kill(outdated);
        group.nodes[outdated].disk->copyFrom(older);
        group.start(outdated);
        group.cutLink(leader, outdated);
        group.heal();
        for (std::size_t node = 0; node < 3; ++node) {
            // The replica with the older disk receives replies, but no entries from the leader.
            CATCH_REQUIRE_FALSE((node == outdated && group.nodes[node].replica->isVoting()));
        }
        CATCH_REQUIRE(group.runUntil([&group, outdated] { return group.nodes[outdated].replica->isVoting(); }));
        CATCH_REQUIRE(group.nodes[outdated].replica->log().lastIndex() >= group.nodes[leader].replica->committedIndex());
        group.kill(leader);
        CATCH_REQUIRE(group.runUntil([&group] { return group.leader() < 3; }));
        CATCH_REQUIRE(group.decidedAt(group.leader(), "b4"));
        requireNoViolations(group);
    }
}

CATCH_TEST_CASE("A resent change gets its first answer and of racing changes one is accepted", "[control-log][config-in-force]")
{
    // Guards against a change that is applied twice, and against two operators who overwrite each other's change because both expect the same version.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimulatedGroup group(3, seed);
        group.bootstrap();
        proposeUntilDecided(group, "a", 2);
        const std::size_t leader = group.leader();
        for (const char *changeId : {"one", "two", "one", "two"}) {
            group.proposeAt(leader, changeId, 2);
        }
        if (seed % 2 == 0) {
            group.kill(leader);
        }
        proposeUntilDecided(group, "b", 1);
        group.propose("one");
        group.run(milliseconds(1000));
        const NaiveCatalogue &catalogue = group.nodes[group.leader()].catalogue;
        CATCH_REQUIRE(std::count(catalogue.names.begin(), catalogue.names.end(), "one") <= 1);
        requireNoViolations(group);
        if (seed % 2 == 1) {
            const ControlMessages::ChangeOutcome second = *group.nodes[leader].state->outcome("two");
            CATCH_REQUIRE(group.nodes[leader].state->outcome("one")->version() == 3);
            CATCH_REQUIRE(second.result() == ControlMessages::ChangeOutcome::RESULT_CONFLICT);
            CATCH_REQUIRE(second.version() == 3);
        }
    }
}

CATCH_TEST_CASE("A group of one replica grows to three, shrinks, and its leader can be removed", "[control-log]")
{
    // Guards against a configuration change that is appended before the previous one is committed, and against a group that stops when its leader
    // removes itself.
    SimulatedGroup group(3, 23);
    ControlMessages::GroupConfiguration alone;
    *alone.add_replicas() = group.replicaOf(0);
    CATCH_REQUIRE(group.nodes[0].replica->bootstrap(alone));
    CATCH_REQUIRE(group.nodes[0].replica->putReplica(group.replicaOf(1)) == RaftReplica::GroupChangeResult::Appended);
    CATCH_REQUIRE(group.runUntil([&group] { return isVoter(group, 1); }));
    CATCH_REQUIRE(group.runUntil([&group] {
        return group.leader() < 3 && group.nodes[group.leader()].replica->putReplica(group.replicaOf(2)) == RaftReplica::GroupChangeResult::Appended;
    }));
    CATCH_REQUIRE(group.runUntil([&group] { return isVoter(group, 2); }));
    proposeUntilDecided(group, "a", 3);
    const std::size_t leader = group.leader();
    const std::size_t next = (leader + 1) % 3;
    CATCH_REQUIRE(group.nodes[leader].replica->removeReplica(group.nodes[next].id) == RaftReplica::GroupChangeResult::Appended);
    CATCH_REQUIRE(group.nodes[leader].replica->removeReplica(group.nodes[(leader + 2) % 3].id) == RaftReplica::GroupChangeResult::ChangePending);
    CATCH_REQUIRE(group.runUntil(
        [&group, leader, next] { return group.nodes[leader].replica->putReplica(group.replicaOf(next)) == RaftReplica::GroupChangeResult::Appended; }));
    CATCH_REQUIRE(group.runUntil([&group, next] { return isVoter(group, next); }));
    CATCH_REQUIRE(
        group.runUntil([&group] { return group.leader() == 0 && group.nodes[0].replica->removeReplica("vm-0") == RaftReplica::GroupChangeResult::Appended; }));
    CATCH_REQUIRE(group.runUntil([&group] { return group.leader() < 3 && group.leader() != 0; }));
    proposeUntilDecided(group, "b", 3);
    CATCH_REQUIRE(group.violations == std::vector<std::string>());
}

CATCH_TEST_CASE("An entry of an earlier term is committed only with one of the leader's term", "[control-log][config-in-force]")
{
    // Guards against an entry that counts as committed and that a later leader overwrites (Ongaro, figure 3.7). A leader that counts the replicas of an
    // earlier term's entry causes it.
    SimulatedGroup group(3, 29);
    PersistentState stored;
    stored.diskIncarnation = 1;
    stored.term = 3;
    for (std::uint64_t index = 1; index <= 2; ++index) {
        stored.entries.emplace_back();
        stored.entries.back().set_term(index);
        stored.entries.back().set_index(index);
    }
    for (const char *id : {"a", "b", "c"}) {
        ControlMessages::Replica &replica = *stored.entries[0].mutable_configuration()->add_replicas();
        replica.set_id(id);
        replica.set_disk_incarnation(1);
    }
    const ControlMessages::Replica peer = stored.entries[0].configuration().replicas(1);
    SteadyTime now(std::chrono::hours(1));
    std::optional<RaftReplica::Request> sent;
    RaftReplica::Options options;
    options.id = "a";
    RaftReplica replica(options,
        {[&now] { return now; }, [] { return 0; }, [&sent](const ControlMessages::Replica &, const RaftReplica::Request &request) { sent = request; }},
        *group.nodes[0].storage,
        stored);
    ControlMessages::VoteReply vote;
    vote.set_granted(true);
    vote.set_voter_disk_incarnation(1);
    ControlMessages::RecallPositionReply recall;
    recall.set_replica_disk_incarnation(1);
    for (int tick = 0; tick < 1000 && replica.role() != RaftReplica::Role::Leader; ++tick) {
        now += milliseconds(20);
        replica.tick();
        if (sent && std::holds_alternative<ControlMessages::VoteRequest>(*sent)) {
            // Winning the pre-vote sends the requests of the real vote from within handleReply().
            const RaftReplica::Request request = *sent;
            replica.handleReply(peer, request, now, vote);
        } else if (sent) {
            replica.handleReply(peer, *sent, now, recall);
        }
    }
    CATCH_REQUIRE(replica.role() == RaftReplica::Role::Leader);
    ControlMessages::AppendReply acknowledgement;
    acknowledgement.set_term(replica.term());
    acknowledgement.set_success(true);
    acknowledgement.set_replica_disk_incarnation(1);
    acknowledgement.set_match_index(2);
    ControlMessages::AppendRequest request;
    request.set_term(replica.term());
    replica.handleReply(peer, request, now, acknowledgement);
    CATCH_REQUIRE(replica.committedIndex() == 0);
    acknowledgement.set_match_index(3);
    replica.handleReply(peer, request, now, acknowledgement);
    CATCH_REQUIRE(replica.committedIndex() == 3);
}

// Guards against a control VM that serves an old copy of the catalogue after the loss of all control VMs and calls it current, so that its entry VMs deny keys
// and routes that were added since.
CATCH_TEST_CASE("A replica that has just started isn't up to date until it has heard a leader", "[control-log][config-in-force]")
{
    SimulatedGroup group(3, 5);
    group.bootstrap();
    proposeUntilDecided(group, "change", 3);
    for (std::size_t node = 0; node < 3; ++node) {
        group.kill(node);
    }
    group.start(0);
    group.run(milliseconds(10));
    CATCH_CHECK_FALSE(group.nodes[0].replica->isUpToDate());
    group.start(1);
    group.start(2);
    CATCH_REQUIRE(group.runUntil(
        [&group] { return std::all_of(group.nodes.begin(), group.nodes.end(), [](const SimulatedGroup::Node &node) { return node.replica->isUpToDate(); }); }));
    requireNoViolations(group);
}

// Guards against a control VM that calls its configuration the newest right after an election, before it knows what earlier leaders have committed.
CATCH_TEST_CASE("A replica that is up to date knows all that was committed before a restart of the group", "[control-log][config-in-force]")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CATCH_CAPTURE(seed);
        SimulatedGroup group(3, seed);
        group.bootstrap();
        proposeUntilDecided(group, "change", 3);
        const std::uint64_t committed = group.nodes[group.leader()].replica->committedIndex();
        for (std::size_t node = 0; node < 3; ++node) {
            group.kill(node);
        }
        for (std::size_t node = 0; node < 3; ++node) {
            group.start(node);
        }
        std::size_t upToDate = 0;
        for (int step = 0; step < 200 && upToDate < 3; ++step) {
            group.run(milliseconds(1));
            upToDate = 0;
            for (const SimulatedGroup::Node &node : group.nodes) {
                upToDate += node.replica->isUpToDate() ? 1 : 0;
                CATCH_REQUIRE((!node.replica->isUpToDate() || node.replica->committedIndex() >= committed));
            }
        }
        CATCH_CHECK(upToDate == 3);
        requireNoViolations(group);
    }
}
