#pragma once

#include "cooperativetask.h"
#include "process/fleet/quorumnode.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall::Tests {

class SimulatedTransport;

using Milliseconds = std::chrono::milliseconds;

/// Many VMs with simulated time, network and clocks in one process. Cuts are one-way, and a stopped VM takes its messages when it goes on.
class SimulatedFleet
{
public:
    SimulatedFleet(std::size_t count, std::size_t domains, std::uint64_t seed, QuorumNode::Options options = {});
    ~SimulatedFleet();

    void runFor(Milliseconds duration);
    void at(Milliseconds delay, std::function<void()> action);
    /// Runs a blocking call, see CooperativeTask.
    void startTask(std::function<void()> body);

    void cut(std::size_t from, std::size_t to, bool isCut);
    void isolate(std::size_t index, bool isolated);
    void stopClockUse(std::size_t index, bool stopped);
    void kill(std::size_t index);
    void restart(std::size_t index);
    void setClockRate(std::size_t index, double rate);
    void setCatalogueVersion(std::size_t index, std::uint64_t version);
    /// Replaces the roster of one VM.
    void setRoster(std::size_t index, std::shared_ptr<const Roster> roster);

    bool isRunning(std::size_t index) const;
    bool isAlive(std::size_t index) const;
    std::uint64_t incarnationOf(std::size_t index) const;
    std::size_t size() const;
    QuorumNode &node(std::size_t index);
    std::shared_ptr<QuorumNode> sharedNode(std::size_t index);
    SteadyTime localTime(std::size_t index) const;
    std::chrono::nanoseconds elapsed() const;
    /// Number of VMs that hold the lease of a shard by their own clocks.
    std::size_t holdersOf(std::uint32_t shard, std::uint64_t &epoch);
    FleetHandlers &handlersOf(std::size_t index);
    std::mt19937_64 &random();
    std::map<std::string, TeamLimit> teams;
    /// How long a VM that isn't reached still counts as alive.
    Milliseconds suspicion{3000};

private:
    friend class SimulatedTransport;
    class View;
    struct Vm;
    void create(std::size_t index, std::uint64_t incarnation);
    void scheduleRound(std::size_t index, std::uint64_t incarnation, std::uint64_t round);
    void updateViews();
    void later(std::function<void()> action);
    void deliver(std::size_t index, std::uint64_t incarnation, std::function<void()> action);
    std::shared_ptr<const Roster> createRoster() const;
    bool isOpen(std::size_t from, std::size_t to) const;

    std::mt19937_64 generator;
    QuorumNode::Options options;
    std::size_t domains;
    std::chrono::nanoseconds now{0};
    std::multimap<std::chrono::nanoseconds, std::function<void()>> events;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::unique_ptr<CooperativeTask>> tasks;
    std::chrono::nanoseconds nextTasks{0};
    std::chrono::nanoseconds nextViews{0};
};

} // namespace Hyssophall::Tests
