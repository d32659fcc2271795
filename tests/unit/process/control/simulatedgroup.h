#pragma once

#include "process/control/controlstate.h"
#include "process/control/logstorage.h"
#include "process/control/raftreplica.h"
#include "unit/process/control/simulateddisk.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

/// A minimal catalogue: names of teams in the order of their changes. An empty name is invalid.
class NaiveCatalogue : public StateMachine
{
public:
    std::uint64_t version() const override
    {
        return this->names.size();
    }

    boost::leaf::result<void> apply(const CatalogueMessages::Change &change) override
    {
        if (change.put_team().name().empty()) {
            return boost::leaf::new_error(InvalidChange{"team.name", "a name"});
        }
        this->names.push_back(change.put_team().name());
        return {};
    }

    CatalogueMessages::Snapshot snapshot() const override
    {
        CatalogueMessages::Snapshot snapshot;
        for (const std::string &name : this->names) {
            snapshot.add_teams()->set_name(name);
        }
        return snapshot;
    }

    boost::leaf::result<void> restore(const CatalogueMessages::Snapshot &snapshot) override
    {
        this->names.clear();
        for (const CatalogueMessages::Team &team : snapshot.teams()) {
            this->names.push_back(team.name());
        }
        return {};
    }

    std::vector<std::string> names;
};

/// Replicas on a simulated network and clock; runs with equal seeds are equal. Violations of safety properties are collected.
class SimulatedGroup
{
public:
    struct Node {
        std::string id;
        std::unique_ptr<SimulatedDisk> disk;
        std::unique_ptr<LogStorage> storage;
        NaiveCatalogue catalogue;
        std::unique_ptr<ControlState> state;
        std::unique_ptr<RaftReplica> replica;
        std::uint64_t processNumber = 0;
        SteadyTime pausedUntil;
    };

    SimulatedGroup(std::size_t size, std::uint64_t seed);

    /// Starts the group with all nodes as voters, and runs the simulation until there is a leader.
    void bootstrap();
    void run(std::chrono::milliseconds duration);
    /// Runs the simulation until the condition holds, for 60 s of simulated time at most. Returns whether it held.
    bool runUntil(const std::function<bool()> &condition);

    void start(std::size_t node);
    void kill(std::size_t node);
    /// Ends the process without a loss of power.
    void endProcess(std::size_t node);
    /// As ControlGroup::reopen(): replaces a halted replica by one with the state that the disk holds now. Returns whether that succeeded.
    bool reopen(std::size_t node);
    /// Starts all nodes that are down or whose disk has failed.
    void restartFailed();
    void loseDisk(std::size_t node);
    void pause(std::size_t node, std::chrono::milliseconds duration);
    void cutLink(std::size_t from, std::size_t to);
    void heal();

    /// Index of the leader that can commit changes, or the number of nodes when there is none.
    std::size_t leader() const;
    ControlMessages::Replica replicaOf(std::size_t node) const;
    /// Proposes at the leader, if any, with the version that it has applied.
    void propose(const std::string &changeId);
    void proposeAt(std::size_t node, const std::string &changeId, std::uint64_t expectedVersion);
    bool decidedAt(std::size_t node, const std::string &changeId) const;
    /// Repairs the network, restarts failed nodes, and checks all replicas against a reference log of all entries that were ever committed.
    void checkAgreement();

    std::vector<Node> nodes;
    std::mt19937_64 random;
    unsigned lossPercent = 0;
    std::uint64_t compactEvery = 20;
    std::vector<std::string> violations;

private:
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    void transmit(std::size_t from, std::size_t to, std::function<void()> delivery);
    void deliver(std::size_t to, std::function<void()> delivery);
    void sendRequest(std::size_t from, const ControlMessages::Replica &peer, const RaftReplica::Request &request);
    void step();
    void createReplica(std::size_t node, std::unique_ptr<LogStorage> opened);
    void applyAndCheckCommitted(Node &node);
    std::size_t indexOf(const std::string &id) const;

    SteadyTime now{std::chrono::hours(1)};
    std::multimap<SteadyTime, std::function<void()>> events;
    std::set<std::pair<std::size_t, std::size_t>> cutLinks;
    /// The reference log: each entry that any replica ever considered committed, by index.
    std::map<std::uint64_t, std::string> committedEntries;
};

} // namespace Hyssophall
