#include "unit/process/control/simulatedgroup.h"

#include <algorithm>

namespace Hyssophall {

SimulatedGroup::SimulatedGroup(std::size_t size, std::uint64_t seed)
    : random(seed)
{
    this->nodes.resize(size);
    for (std::size_t node = 0; node < size; ++node) {
        this->nodes[node].id = "vm-" + std::to_string(node);
        this->nodes[node].disk = std::make_unique<SimulatedDisk>(this->random());
        this->start(node);
    }
}

void SimulatedGroup::start(std::size_t index)
{
    Node &node = this->nodes[index];
    boost::leaf::result<std::unique_ptr<LogStorage>> storage = LogStorage::create(*node.disk, [this] { return this->random(); });
    if (!storage) {
        return;
    }
    node.catalogue = NaiveCatalogue();
    node.state = std::make_unique<ControlState>(node.catalogue);
    this->createReplica(index, std::move(*storage));
}

bool SimulatedGroup::reopen(std::size_t index)
{
    boost::leaf::result<std::unique_ptr<LogStorage>> storage = LogStorage::create(*this->nodes[index].disk, [this] { return this->random(); });
    if (!storage) {
        return false;
    }
    this->createReplica(index, std::move(*storage));
    return true;
}

void SimulatedGroup::createReplica(std::size_t index, std::unique_ptr<LogStorage> opened)
{
    Node &node = this->nodes[index];
    node.replica.reset();
    node.storage = std::move(opened);
    RaftReplica::Options options;
    options.id = node.id;
    RaftReplica::Hooks hooks{[this] { return this->now; },
        [this] { return this->random(); },
        [this, index](const ControlMessages::Replica &peer, const RaftReplica::Request &request) { this->sendRequest(index, peer, request); }};
    node.replica = std::make_unique<RaftReplica>(options, hooks, *node.storage, node.storage->takeLoadedState());
    ++node.processNumber;
}

void SimulatedGroup::kill(std::size_t node)
{
    this->nodes[node].replica.reset();
    this->nodes[node].disk->crash();
}

void SimulatedGroup::endProcess(std::size_t node)
{
    this->nodes[node].replica.reset();
}

void SimulatedGroup::loseDisk(std::size_t node)
{
    this->kill(node);
    this->nodes[node].disk = std::make_unique<SimulatedDisk>(this->random());
}

void SimulatedGroup::pause(std::size_t node, std::chrono::milliseconds duration)
{
    this->nodes[node].pausedUntil = this->now + duration;
}

void SimulatedGroup::cutLink(std::size_t from, std::size_t to)
{
    this->cutLinks.insert({from, to});
}

void SimulatedGroup::heal()
{
    this->cutLinks.clear();
    this->lossPercent = 0;
}

void SimulatedGroup::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

void SimulatedGroup::transmit(std::size_t from, std::size_t to, std::function<void()> delivery)
{
    if (this->cutLinks.count({from, to}) == 0 && this->random() % 100 >= this->lossPercent) {
        this->schedule(std::chrono::milliseconds(1 + this->random() % 5), [this, to, delivery] { this->deliver(to, delivery); });
    }
}

void SimulatedGroup::deliver(std::size_t to, std::function<void()> delivery)
{
    if (this->nodes[to].pausedUntil > this->now) {
        this->events.emplace(this->nodes[to].pausedUntil, delivery);
    } else {
        delivery();
    }
}

void SimulatedGroup::sendRequest(std::size_t from, const ControlMessages::Replica &peer, const RaftReplica::Request &request)
{
    const std::size_t to = this->indexOf(peer.id());
    const std::uint64_t processNumber = this->nodes[from].processNumber;
    const SteadyTime sentAt = this->now;
    this->transmit(from, to, [this, from, to, peer, request, processNumber, sentAt] {
        std::optional<RaftReplica::Reply> reply;
        if (this->nodes[to].replica) {
            reply = this->nodes[to].replica->handleRequest(request);
        }
        if (!reply) {
            return;
        }
        this->transmit(to, from, [this, from, peer, request, processNumber, sentAt, reply] {
            if (this->nodes[from].replica && this->nodes[from].processNumber == processNumber) {
                this->nodes[from].replica->handleReply(peer, request, sentAt, *reply);
            }
        });
    });
}

void SimulatedGroup::run(std::chrono::milliseconds duration)
{
    const SteadyTime end = this->now + duration;
    while (this->now < end) {
        this->step();
    }
}

bool SimulatedGroup::runUntil(const std::function<bool()> &condition)
{
    const SteadyTime end = this->now + std::chrono::seconds(60);
    while (this->now < end) {
        if (condition()) {
            return true;
        }
        this->step();
    }
    return false;
}

void SimulatedGroup::step()
{
    const SteadyTime next = this->now + std::chrono::milliseconds(20);
    while (!this->events.empty() && this->events.begin()->first <= next) {
        this->now = std::max(this->now, this->events.begin()->first);
        const std::function<void()> action = this->events.begin()->second;
        this->events.erase(this->events.begin());
        action();
    }
    this->now = next;
    for (Node &node : this->nodes) {
        if (node.replica && node.pausedUntil <= this->now) {
            node.replica->tick();
            this->applyAndCheckCommitted(node);
        }
    }
}

void SimulatedGroup::applyAndCheckCommitted(Node &node)
{
    RaftReplica &replica = *node.replica;
    for (const ControlMessages::Entry &entry : replica.log().entries()) {
        if (entry.index() <= replica.committedIndex() && entry.index() > node.state->appliedIndex()) {
            const auto [known, added] = this->committedEntries.emplace(entry.index(), entry.SerializeAsString());
            if (!added && known->second != entry.SerializeAsString()) {
                this->violations.push_back(node.id + " committed another entry " + std::to_string(entry.index()));
            }
        }
    }
    if (!node.state->applyUpTo(replica.log(), replica.committedIndex())) {
        this->violations.push_back(node.id + " can't apply entry " + std::to_string(node.state->appliedIndex() + 1));
    }
    if (replica.committedIndex() >= replica.log().snapshotIndex() + this->compactEvery) {
        replica.compact(node.state->snapshot());
    }
}

void SimulatedGroup::bootstrap()
{
    ControlMessages::GroupConfiguration configuration;
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        *configuration.add_replicas() = this->replicaOf(node);
    }
    const bool started = this->runUntil([this, &configuration] {
        this->nodes[0].replica->bootstrap(configuration);
        this->run(std::chrono::milliseconds(100));
        return this->leader() < this->nodes.size();
    });
    if (!started) {
        this->violations.emplace_back("the group didn't start");
    }
}

std::size_t SimulatedGroup::leader() const
{
    std::size_t node = 0;
    while (node < this->nodes.size() && !(this->nodes[node].replica && this->nodes[node].pausedUntil <= this->now && this->nodes[node].replica->isLeading())) {
        ++node;
    }
    return node;
}

ControlMessages::Replica SimulatedGroup::replicaOf(std::size_t node) const
{
    ControlMessages::Replica replica;
    replica.set_id(this->nodes[node].id);
    replica.set_address(this->nodes[node].id);
    replica.set_disk_incarnation(this->nodes[node].replica->diskIncarnation());
    return replica;
}

void SimulatedGroup::propose(const std::string &changeId)
{
    const std::size_t node = this->leader();
    if (node < this->nodes.size()) {
        this->proposeAt(node, changeId, this->nodes[node].catalogue.version());
    }
}

void SimulatedGroup::proposeAt(std::size_t node, const std::string &changeId, std::uint64_t expectedVersion)
{
    ControlMessages::CatalogueChange change;
    change.set_change_id(changeId);
    change.set_expected_version(expectedVersion);
    change.mutable_change()->mutable_put_team()->set_name(changeId.substr(0, changeId.find('/')));
    this->nodes[node].replica->propose(change);
}

bool SimulatedGroup::decidedAt(std::size_t node, const std::string &changeId) const
{
    return this->nodes[node].replica && this->nodes[node].state->outcome(changeId).has_value();
}

std::size_t SimulatedGroup::indexOf(const std::string &id) const
{
    return static_cast<std::size_t>(std::stoul(id.substr(3)));
}

void SimulatedGroup::restartFailed()
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        if (!this->nodes[node].replica || this->nodes[node].replica->isHalted()) {
            this->kill(node);
            this->start(node);
        }
    }
}

void SimulatedGroup::checkAgreement()
{
    this->heal();
    const bool converged = this->runUntil([this] {
        this->restartFailed();
        const std::size_t leader = this->leader();
        bool equal = leader < this->nodes.size();
        for (std::size_t node = 0; equal && node < this->nodes.size(); ++node) {
            // Removed replicas are added again, so that all are compared.
            if (ReplicaGroup::find(this->nodes[leader].replica->log().configuration(), this->nodes[node].id) == nullptr) {
                this->nodes[leader].replica->putReplica(this->replicaOf(node));
            }
        }
        for (const Node &node : this->nodes) {
            equal = equal && node.replica && node.state->appliedIndex() >= this->committedEntries.rbegin()->first;
        }
        return equal;
    });
    if (!converged) {
        this->violations.emplace_back("the group doesn't converge");
    }
    // The reference computes the outcome of each change in the order of the log; a repeated change id keeps its first outcome.
    std::map<std::string, std::string> expectedOutcomes;
    std::vector<std::string> names;
    for (const auto &[index, bytes] : this->committedEntries) {
        ControlMessages::Entry entry;
        entry.ParseFromString(bytes);
        const ControlMessages::CatalogueChange &change = entry.change();
        if (entry.index() == index && entry.has_change() && expectedOutcomes.count(change.change_id()) == 0) {
            const bool accepted = change.expected_version() == names.size();
            expectedOutcomes[change.change_id()] = accepted ? "accepted" : "conflict at " + std::to_string(names.size());
            if (accepted) {
                names.push_back(change.change().put_team().name());
            }
        }
    }
    for (const Node &node : this->nodes) {
        if (node.catalogue.names != names) {
            this->violations.push_back(node.id + " has another catalogue");
        }
        for (const auto &[changeId, expected] : expectedOutcomes) {
            const std::optional<ControlMessages::ChangeOutcome> outcome = node.state->outcome(changeId);
            const bool accepted = outcome && outcome->result() == ControlMessages::ChangeOutcome::RESULT_ACCEPTED;
            if (!outcome || (accepted ? "accepted" : "conflict at " + std::to_string(outcome->version())) != expected) {
                this->violations.push_back(node.id + " reports for " + changeId + " another outcome");
            }
        }
    }
}

} // namespace Hyssophall
