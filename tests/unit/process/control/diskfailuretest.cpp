// Failures of the disks of the control group's replicas.

#include "process/control/diskprobe.h"
#include "unit/process/control/simulatedgroup.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

using namespace Hyssophall;

namespace {

using std::chrono::milliseconds;

/// Number of seeds of a test; the environment variable raises it for longer runs by hand.
std::uint64_t seedCount(std::uint64_t usual)
{
    const char *const configured = std::getenv("HYSSOPHALL_DISK_SEEDS");
    return configured != nullptr ? std::strtoull(configured, nullptr, 10) : usual;
}

/// What a control VM does about its own replica: ControlNode::reopenIfDiskRecovered(), and the restart of a process that has ended.
class Maintenance
{
public:
    explicit Maintenance(SimulatedGroup &group)
        : group(group)
        , untilReopen(group.nodes.size(), milliseconds(0))
    {
    }

    void run(milliseconds duration)
    {
        for (milliseconds elapsed(0); elapsed < duration; elapsed += interval) {
            this->group.run(interval);
            for (std::size_t node = 0; node < this->group.nodes.size(); ++node) {
                this->maintain(node);
            }
        }
    }

    /// Proposes a change until a leader has an outcome for it. Returns whether it had within the time.
    bool decide(const std::string &changeId, milliseconds timeout)
    {
        for (milliseconds elapsed(0); elapsed < timeout; elapsed += interval) {
            const std::size_t leader = this->group.leader();
            if (leader < this->group.nodes.size() && this->group.decidedAt(leader, changeId)) {
                return true;
            }
            this->group.propose(changeId);
            this->run(interval);
        }
        return false;
    }

    /// Nodes that stay down.
    std::set<std::size_t> lost;

private:
    static constexpr milliseconds interval{200};
    static constexpr milliseconds reopenInterval{5000};

    void maintain(std::size_t node)
    {
        this->untilReopen[node] -= interval;
        SimulatedGroup::Node &each = this->group.nodes[node];
        if (this->lost.contains(node)) {
            return;
        }
        if (!each.replica) {
            this->group.start(node);
        } else if (each.replica->isHalted() && !each.disk->isFull() && this->untilReopen[node] <= milliseconds(0)) {
            this->untilReopen[node] = reopenInterval;
            this->group.reopen(node);
        }
    }

    SimulatedGroup &group;
    std::vector<milliseconds> untilReopen;
};

/// The replica is reopened at most 5 s after its disk has room, may wait 10 s for positions, and an election takes up to 2 s.
constexpr milliseconds decisionBound{17000};

void changeGroup(SimulatedGroup &group, std::size_t node)
{
    const std::size_t leader = group.leader();
    if (leader == group.nodes.size() || !group.nodes[node].replica || leader == node) {
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

ControlMessages::Entry entryOf(std::uint64_t index, std::size_t size)
{
    ControlMessages::Entry entry;
    entry.set_term(1);
    entry.set_index(index);
    entry.mutable_change()->set_change_id(std::string(size, 'x'));
    return entry;
}

void requireNoViolations(SimulatedGroup &group)
{
    const std::vector<std::string> none;
    group.checkAgreement();
    CATCH_REQUIRE(group.violations == none);
}

} // namespace

// Guards against replicas that stop for good after their disks were full one after another, and against changes that are lost by it.
CATCH_TEST_CASE("Disks that were full one after another leave a group that decides again", "[control-log][config-in-force]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(20); ++seed) {
        CATCH_CAPTURE(seed);
        SimulatedGroup group(seed % 2 == 0 ? 3 : 5, seed);
        group.compactEvery = 2 + seed % 10;
        group.bootstrap();
        Maintenance maintenance(group);
        std::size_t victim = group.random() % group.nodes.size();
        int number = 0;
        for (int turn = 0; turn < 15; ++turn) {
            // Half of the turns fill the leader's disk.
            const std::size_t leader = group.leader();
            victim = group.random() % 2 == 0 && leader < group.nodes.size() ? leader : (victim + 1) % group.nodes.size();
            group.nodes[victim].disk->fill();
            const int steps = 1 + static_cast<int>(group.random() % 15);
            for (int step = 0; step < steps; ++step) {
                group.propose("turn-" + std::to_string(number++));
                const std::uint64_t event = group.random() % 20;
                if (event == 0) {
                    group.endProcess(victim);
                } else if (event == 1) {
                    group.kill(victim);
                } else if (event == 2) {
                    changeGroup(group, group.random() % group.nodes.size());
                }
                maintenance.run(milliseconds(200));
            }
            group.nodes[victim].disk->makeRoom();
            maintenance.run(milliseconds(200 * (group.random() % 3)));
        }
        CATCH_CHECK(maintenance.decide("last", decisionBound));
        requireNoViolations(group);
    }
}

// Guards against survivors that form a majority and elect no leader for good, since one of them refuses its vote in all terms that the others reach.
CATCH_TEST_CASE("Any majority decides after disks and links have failed and the others are lost", "[control-log][config-in-force]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(220); ++seed) {
        CATCH_CAPTURE(seed);
        SimulatedGroup group(seed % 2 == 0 ? 3 : 5, seed);
        group.compactEvery = 2 + seed % 10;
        group.bootstrap();
        Maintenance maintenance(group);
        for (int round = 0; round < 40; ++round) {
            const std::size_t node = group.random() % group.nodes.size();
            const std::size_t other = group.random() % group.nodes.size();
            switch (group.random() % 6) {
            case 0:
                group.cutLink(node, other);
                break;
            case 1:
                group.heal();
                break;
            case 2:
                group.nodes[node].disk->fill();
                break;
            case 3:
                group.nodes[node].disk->makeRoom();
                break;
            case 4:
                group.kill(node);
                break;
            default:
                break;
            }
            group.propose("round-" + std::to_string(round));
            group.run(milliseconds(group.random() % 300));
            if (group.random() % 2 == 0) {
                maintenance.run(milliseconds(200));
            }
        }
        group.heal();
        std::vector<std::size_t> order;
        for (std::size_t node = 0; node < group.nodes.size(); ++node) {
            group.nodes[node].disk->makeRoom();
            order.push_back(node);
        }
        std::shuffle(order.begin(), order.end(), group.random);
        for (std::size_t count = 0; count < group.nodes.size() / 2; ++count) {
            maintenance.lost.insert(order[count]);
            group.kill(order[count]);
        }
        CATCH_CHECK(maintenance.decide("last", decisionBound));
        requireNoViolations(group);
    }
}

// Guards against a replica that waits for a leader before it votes, since its disk failed between the removal of entries that a leader had replaced and
// the storing of the new ones. The leader of before still knows that the removed entries were acknowledged. If the new one is lost, none can be elected.
CATCH_TEST_CASE("A replica whose disk fails while entries are replaced doesn't prevent an election", "[control-log][config-in-force]")
{
    bool hasFailed = true;
    for (std::uint64_t operation = 1; hasFailed; ++operation) {
        CATCH_CAPTURE(operation);
        CATCH_REQUIRE(operation < 100);
        SimulatedGroup group(5, operation);
        group.bootstrap();
        Maintenance maintenance(group);
        CATCH_REQUIRE(maintenance.decide("first", decisionBound));
        const std::size_t former = group.leader();
        const std::size_t victim = (former + 1) % 5;
        const std::vector<std::size_t> others{(former + 2) % 5, (former + 3) % 5, (former + 4) % 5};
        for (const std::size_t other : others) {
            for (const std::size_t cut : {former, victim}) {
                group.cutLink(cut, other);
                group.cutLink(other, cut);
            }
        }
        // Only these two store the change, so it isn't committed.
        group.propose("replaced");
        CATCH_REQUIRE(group.runUntil([&group, former] { return group.leader() < 5 && group.leader() != former; }));
        const std::size_t leader = group.leader();
        group.nodes[victim].disk->failAt(operation);
        group.heal();
        for (const std::size_t other : others) {
            group.cutLink(former, other);
            group.cutLink(other, former);
        }
        group.run(milliseconds(1000));
        hasFailed = group.nodes[victim].disk->hasFailed();
        if (operation % 2 == 0) {
            group.nodes[victim].disk->recover();
        } else {
            group.kill(victim);
        }
        maintenance.lost = {leader, leader == others[0] ? others[1] : others[0]};
        for (const std::size_t lost : maintenance.lost) {
            group.kill(lost);
        }
        group.heal();
        CATCH_CHECK(maintenance.decide("last", decisionBound));
        requireNoViolations(group);
    }
}

// Guards against a replica that stays silent for good although its disk has room: the part of a write that fitted, or of the probe, took all that was left,
// and neither is removed before a probe succeeds.
CATCH_TEST_CASE("A write that doesn't fit on the disk leaves room for the probe and for smaller writes", "[control-log]")
{
    constexpr std::size_t room = 100 * 1024;
    for (const int failing : {0, 1, 2}) {
        CATCH_CAPTURE(failing);
        SimulatedDisk disk(1);
        const RandomSource random = [] { return 42; };
        {
            const std::unique_ptr<LogStorage> storage = std::move(LogStorage::create(disk, random).value());
            CATCH_REQUIRE(storage->append({entryOf(1, 10), entryOf(2, 10), entryOf(3, 10)}));
            disk.limitTo(disk.used() + room);
            ControlMessages::StateSnapshot snapshot;
            snapshot.mutable_last()->set_index(2);
            snapshot.mutable_last()->set_term(1);
            snapshot.mutable_catalogue()->add_teams()->set_name(std::string(2 * room, 'x'));
            CATCH_REQUIRE_FALSE((failing == 0 ? storage->append({entryOf(4, 2 * room)})
                    : failing == 1            ? storage->replaceAfter(2, {entryOf(3, 2 * room)})
                                              : storage->saveSnapshot(snapshot, {entryOf(3, 10)})));
        }
        CATCH_CHECK(DiskProbe::isWritable(disk));
        const std::unique_ptr<LogStorage> storage = std::move(LogStorage::create(disk, random).value());
        CATCH_CHECK(storage->append({entryOf(4, room / 2)}));

        // Less room is left than the probe needs.
        const std::size_t used = disk.used();
        CATCH_CHECK_FALSE(DiskProbe::isWritable(disk));
        CATCH_CHECK(disk.used() == used);
        CATCH_CHECK(storage->append({entryOf(5, room / 4)}));
    }
}

// Guards against an accepted change that is lost when as many disks as the group tolerates are lost and all other VMs lose power at the same moment.
CATCH_TEST_CASE("Accepted changes survive the loss of two disks of five while the others lose power", "[control-log][config-in-force]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(40); ++seed) {
        CATCH_CAPTURE(seed);
        SimulatedGroup group(5, seed);
        group.compactEvery = 2 + seed % 10;
        group.bootstrap();
        Maintenance maintenance(group);
        const std::uint64_t count = 1 + group.random() % 12;
        for (std::uint64_t number = 0; number < count; ++number) {
            if (group.random() % 3 == 0) {
                group.nodes[group.random() % 5].disk->failAt(1 + group.random() % 30);
            }
            if (group.random() % 4 == 0) {
                group.restartFailed();
                group.heal();
                group.lossPercent = static_cast<unsigned>(group.random() % 30);
            }
            group.propose("tried-" + std::to_string(number));
            group.run(milliseconds(group.random() % 100));
        }
        std::vector<std::string> accepted;
        for (std::uint64_t number = 0; number < count; ++number) {
            const std::string changeId = "tried-" + std::to_string(number);
            const std::size_t leader = group.leader();
            if (leader < 5 && group.decidedAt(leader, changeId)) {
                accepted.push_back(changeId);
            }
        }
        std::vector<std::size_t> order{0, 1, 2, 3, 4};
        std::shuffle(order.begin(), order.end(), group.random);
        group.heal();
        for (std::size_t position = 0; position < 5; ++position) {
            position < 2 ? group.loseDisk(order[position]) : group.kill(order[position]);
        }
        CATCH_CHECK(maintenance.decide("last", decisionBound));
        const std::size_t leader = group.leader();
        CATCH_REQUIRE(leader < 5);
        for (const std::string &changeId : accepted) {
            CATCH_CHECK(group.decidedAt(leader, changeId));
        }
        for (std::size_t position = 0; position < 2; ++position) {
            const std::size_t lost = order[position];
            CATCH_CHECK(group.runUntil([&group, lost] {
                if (group.leader() < 5 && !isVoter(group, lost)) {
                    group.nodes[group.leader()].replica->putReplica(group.replicaOf(lost));
                }
                return isVoter(group, lost);
            }));
        }
        requireNoViolations(group);
    }
}
