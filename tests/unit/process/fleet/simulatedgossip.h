#pragma once

#include "simulatednode.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Hyssophall {

/// VMs on a simulated network, all in the same roster.
class SimulatedFleet
{
public:
    SimulatedFleet(std::uint64_t seed, std::size_t count)
        : network(seed)
    {
        CatalogueMessages::Snapshot snapshot;
        snapshot.set_version(1);
        snapshot.set_roster_version(1);
        for (std::size_t index = 0; index < count; ++index) {
            CatalogueMessages::Member &member = *snapshot.add_members();
            member.set_id(idOf(index));
            member.set_fleet_address(idOf(index));
            member.set_failure_domain("domain-" + std::to_string(index % 4));
        }
        for (std::size_t index = 0; index < count; ++index) {
            this->start(index, snapshot);
        }
    }

    static std::string idOf(std::size_t index)
    {
        return "vm-" + std::to_string(1000 + index);
    }

    SimulatedNode &node(std::size_t index)
    {
        return *this->nodes.at(idOf(index));
    }

    /// Starts or restarts a VM with a new incarnation.
    void start(std::size_t index, const CatalogueMessages::Snapshot &snapshot)
    {
        this->stop(index);
        const std::string id = idOf(index);
        const std::vector<std::string> seeds = {idOf(0), idOf(1), idOf(2)};
        SimulatedNode *node
            = this->nodes.emplace(id, std::make_unique<SimulatedNode>(this->network, id, seeds, this->network.generator(), snapshot)).first->second.get();
        this->network.endpoints[id] = node;
        this->repeat(node, std::chrono::milliseconds(250), [node] { node->core.gossipTick(); });
        this->repeat(node, std::chrono::milliseconds(500), [node] { node->core.registrarTick(); });
    }

    /// Stops a VM abruptly, so that it sends no leaving state.
    void stop(std::size_t index)
    {
        const std::map<std::string, std::unique_ptr<SimulatedNode>>::iterator found = this->nodes.find(idOf(index));
        if (found != this->nodes.end()) {
            found->second->running = false;
            this->network.endpoints.erase(found->first);
            this->stopped.push_back(std::move(found->second));
            this->nodes.erase(found);
        }
    }

    /// Drops all messages from one VM to another from now on.
    void cut(std::size_t from, std::size_t to)
    {
        this->network.blockedLinks.emplace(idOf(from), idOf(to));
    }

    void run(std::chrono::milliseconds duration)
    {
        this->network.run(duration);
    }

    /// Runs until the condition holds for all running VMs, but not longer than @p limit. Returns the simulated time that passed.
    std::chrono::milliseconds runUntilAll(const std::function<bool(SimulatedNode &)> &condition, std::chrono::milliseconds limit)
    {
        const std::chrono::milliseconds step(50);
        std::chrono::milliseconds passed(0);
        while (passed < limit && !this->holdsForAll(condition)) {
            this->run(step);
            passed += step;
        }
        return passed;
    }

    bool holdsForAll(const std::function<bool(SimulatedNode &)> &condition)
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&condition](const auto &entry) { return condition(*entry.second); });
    }

    SimulatedNetwork network;
    std::map<std::string, std::unique_ptr<SimulatedNode>> nodes;

private:
    void repeat(SimulatedNode *node, std::chrono::milliseconds period, const std::function<void()> &action)
    {
        const std::chrono::milliseconds offset(this->network.generator() % static_cast<std::uint64_t>(period.count()));
        this->network.schedule(node, offset, [this, node, period, action] { this->runAndReschedule(node, period, action); });
    }

    void runAndReschedule(SimulatedNode *node, std::chrono::milliseconds period, const std::function<void()> &action)
    {
        action();
        this->network.schedule(node, period, [this, node, period, action] { this->runAndReschedule(node, period, action); });
    }

    std::vector<std::unique_ptr<SimulatedNode>> stopped;
};

} // namespace Hyssophall
