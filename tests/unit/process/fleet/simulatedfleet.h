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

/// Many VMs with simulated time, network and clocks in one process. Blocked links are one-way. A suspended VM handles its messages when it resumes.
class SimulatedFleet
{
public:
    SimulatedFleet(std::size_t count, std::size_t domains, std::uint64_t seed, QuorumNode::Options options = {});
    ~SimulatedFleet();

    /// Runs all events of the next @p duration.
    void runFor(Milliseconds duration);
    /// Runs an action after @p delay of simulated time.
    void scheduleAfter(Milliseconds delay, std::function<void()> action);
    /// Runs code with blocking calls, see CooperativeTask.
    void startTask(std::function<void()> body);

    /// Blocks or unblocks all messages from one VM to another, in this direction only.
    void setLinkBlocked(std::size_t from, std::size_t to, bool isBlocked);
    /// Blocks or unblocks all messages from and to a VM.
    void isolate(std::size_t index, bool isolated);
    /// Suspends or resumes a VM. Its clock goes on, but it runs nothing, and messages and timers wait until it resumes.
    void setSuspended(std::size_t index, bool suspended);
    /// Ends a VM, which loses its memory. restart() starts it with a new incarnation.
    void kill(std::size_t index);
    void restart(std::size_t index);
    /// Sets how fast a VM's clock runs; 1 is the rate of the simulated time.
    void setClockRate(std::size_t index, double rate);
    void setCatalogueVersion(std::size_t index, std::uint64_t version);
    /// Replaces the roster of one VM.
    void setRoster(std::size_t index, std::shared_ptr<const Roster> roster);

    /// True when a VM is alive and not suspended.
    bool isRunning(std::size_t index) const;
    bool isAlive(std::size_t index) const;
    std::uint64_t incarnationOf(std::size_t index) const;
    std::size_t size() const;
    QuorumNode &node(std::size_t index);
    /// Keeps the node and its transport alive beyond kill(), for calls that run in it.
    std::shared_ptr<QuorumNode> sharedNode(std::size_t index);
    /// The time on a VM's own clock.
    SteadyTime localTime(std::size_t index) const;
    std::chrono::nanoseconds elapsed() const;
    /// Number of VMs that hold the lease of a shard according to their own clocks. Sets @p epoch to the epoch of a holder, if any.
    std::size_t holdersOf(std::uint32_t shard, std::uint64_t &epoch);
    FleetHandlers &handlersOf(std::size_t index);
    std::mt19937_64 &random();
    std::map<std::string, TeamLimit> teams;
    /// How long an unreachable VM still counts as alive.
    Milliseconds suspicionTimeout{3000};

private:
    friend class SimulatedTransport;
    class View;
    struct Vm;
    void startVm(std::size_t index, std::uint64_t incarnation);
    void scheduleSteps(std::size_t index, std::uint64_t incarnation, std::uint64_t round);
    void updateViews();
    void sendMessage(std::function<void()> action);
    void deliver(std::size_t index, std::uint64_t incarnation, std::function<void()> action);
    std::shared_ptr<const Roster> createRoster() const;
    bool isLinkOpen(std::size_t from, std::size_t to) const;

    std::mt19937_64 generator;
    QuorumNode::Options options;
    std::size_t domains;
    std::chrono::nanoseconds now{0};
    std::multimap<std::chrono::nanoseconds, std::function<void()>> events;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::unique_ptr<CooperativeTask>> tasks;
    std::chrono::nanoseconds nextTaskTime{0};
    std::chrono::nanoseconds nextViewUpdate{0};
};

} // namespace Hyssophall::Tests
