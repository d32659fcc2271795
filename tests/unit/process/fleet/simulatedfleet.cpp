#include "simulatedfleet.h"

#include "simulatedtransport.h"

#include <algorithm>

namespace Hyssophall::Tests {

namespace {

std::string idOf(std::size_t index)
{
    return "vm-" + std::to_string(index);
}

} // namespace

class SimulatedFleet::View : public MemberView
{
public:
    std::vector<std::string> liveMembers() const override
    {
        return std::vector<std::string>(this->live.begin(), this->live.end());
    }
    std::string addressOf(const std::string &memberId) const override
    {
        return memberId;
    }
    std::vector<MemberStatus> members() const override
    {
        return {};
    }
    std::set<std::string> live;
    std::map<std::size_t, std::chrono::nanoseconds> lastSeen;
};

struct SimulatedFleet::Vm {
    double clockRate = 1;
    SteadyTime clockBase{std::chrono::hours(1)};
    std::chrono::nanoseconds clockSet{0};
    bool suspended = false;
    bool alive = false;
    std::uint64_t incarnation = 0;
    std::uint64_t catalogueVersion = 1;
    std::shared_ptr<const Roster> roster;
    std::deque<std::function<void()>> deferred;
    View view;
    FleetHandlers handlers;
    std::shared_ptr<SimulatedTransport> transport;
    std::shared_ptr<QuorumNode> node;
};

SimulatedFleet::SimulatedFleet(std::size_t count, std::size_t domains, std::uint64_t seed, QuorumNode::Options options)
    : generator(seed)
    , options(std::move(options))
    , domains(domains)
{
    this->options.claimWaitHook = [](SteadyTime) { CooperativeTask::pauseCurrent(); };
    for (std::size_t index = 0; index < count; ++index) {
        this->vms.push_back(std::make_unique<Vm>());
    }
    const std::shared_ptr<const Roster> roster = this->createRoster();
    for (std::size_t index = 0; index < count; ++index) {
        this->vms[index]->roster = roster;
        this->startVm(index, 1000 + index);
    }
    this->updateViews();
}

SimulatedFleet::~SimulatedFleet()
{
    // Runs until the blocking calls reach their deadlines, which ends all tasks.
    while (!this->tasks.empty()) {
        this->runFor(Milliseconds(100));
    }
    for (std::unique_ptr<Vm> &vm : this->vms) {
        vm->alive = false;
    }
}

std::shared_ptr<const Roster> SimulatedFleet::createRoster() const
{
    std::vector<CatalogueMessages::Member> members(this->vms.size());
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index].set_id(idOf(index));
        members[index].set_fleet_address(idOf(index));
        members[index].set_failure_domain("domain-" + std::to_string(index % this->domains));
        members[index].set_admitted_incarnation(1000 + index);
    }
    return std::make_shared<const Roster>(1, std::move(members));
}

void SimulatedFleet::startVm(std::size_t index, std::uint64_t incarnation)
{
    Vm &vm = *this->vms[index];
    vm.alive = true;
    vm.incarnation = incarnation;
    vm.transport = std::make_shared<SimulatedTransport>(*this, index, incarnation);
    FleetContext context;
    context.self = idOf(index);
    context.incarnation = incarnation;
    context.clock = [this, index] { return this->localTime(index); };
    context.random = [this] { return this->generator(); };
    context.roster = [&vm] { return vm.roster; };
    context.catalogueVersion = [&vm] { return vm.catalogueVersion; };
    context.transport = vm.transport.get();
    vm.node = std::make_shared<QuorumNode>(context, this->options, vm.view, [this](const std::string &team) -> std::optional<TeamLimit> {
        const auto found = this->teams.find(team);
        return found == this->teams.end() ? std::nullopt : std::optional<TeamLimit>(found->second);
    });
    vm.node->setHandlers(vm.handlers);
    this->scheduleSteps(index, incarnation, 0);
}

void SimulatedFleet::scheduleSteps(std::size_t index, std::uint64_t incarnation, std::uint64_t round)
{
    this->scheduleAfter(Milliseconds(5), [this, index, incarnation, round] {
        this->deliver(index, incarnation, [this, index, incarnation, round] {
            QuorumNode &node = *this->vms[index]->node;
            if (round % 4 == 0) {
                node.stepShardLeases();
                node.stepServingLease();
            }
            if (round % 20 == 0) {
                node.stepOwner();
                node.stepClaims();
            }
            node.stepLimits();
            this->scheduleSteps(index, incarnation, round + 1);
        });
    });
}

void SimulatedFleet::deliver(std::size_t index, std::uint64_t incarnation, std::function<void()> action)
{
    Vm &vm = *this->vms[index];
    if (!vm.alive || vm.incarnation != incarnation) {
        return;
    }
    if (vm.suspended) {
        vm.deferred.push_back([this, index, incarnation, action = std::move(action)] { this->deliver(index, incarnation, action); });
        return;
    }
    action();
}

void SimulatedFleet::scheduleAfter(Milliseconds delay, std::function<void()> action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

void SimulatedFleet::sendMessage(std::function<void()> action)
{
    const std::chrono::nanoseconds delay(200000 + this->generator() % 2800000);
    this->events.emplace(this->now + delay, std::move(action));
}

void SimulatedFleet::startTask(std::function<void()> body)
{
    this->tasks.push_back(std::make_unique<CooperativeTask>(std::move(body)));
}

void SimulatedFleet::runFor(Milliseconds duration)
{
    const std::chrono::nanoseconds end = this->now + duration;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        const auto event = this->events.begin();
        this->now = event->first;
        const std::function<void()> action = std::move(event->second);
        this->events.erase(event);
        action();
        if (this->now >= this->nextTaskTime) {
            this->nextTaskTime = this->now + Milliseconds(1);
            std::erase_if(this->tasks, [](const std::unique_ptr<CooperativeTask> &task) { return !task->resume(); });
        }
        if (this->now >= this->nextViewUpdate) {
            this->updateViews();
            this->nextViewUpdate = this->now + Milliseconds(100);
        }
    }
    this->now = end;
}

void SimulatedFleet::updateViews()
{
    for (std::size_t viewer = 0; viewer < this->vms.size(); ++viewer) {
        View &view = this->vms[viewer]->view;
        view.live.clear();
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            if (other == viewer || (this->isRunning(other) && this->isLinkOpen(viewer, other) && this->isLinkOpen(other, viewer))) {
                view.lastSeen[other] = this->now;
            }
            if (view.lastSeen.contains(other) && this->now - view.lastSeen[other] <= this->suspicionTimeout) {
                view.live.insert(idOf(other));
            }
        }
    }
}

void SimulatedFleet::setLinkBlocked(std::size_t from, std::size_t to, bool isBlocked)
{
    isBlocked ? (void)this->blockedLinks.insert({from, to}) : (void)this->blockedLinks.erase({from, to});
}

void SimulatedFleet::isolate(std::size_t index, bool isolated)
{
    for (std::size_t other = 0; other < this->vms.size(); ++other) {
        this->setLinkBlocked(index, other, isolated);
        this->setLinkBlocked(other, index, isolated);
    }
}

void SimulatedFleet::setSuspended(std::size_t index, bool suspended)
{
    Vm &vm = *this->vms[index];
    vm.suspended = suspended;
    std::deque<std::function<void()>> deferred;
    deferred.swap(vm.deferred);
    for (const std::function<void()> &action : deferred) {
        action();
    }
}

void SimulatedFleet::kill(std::size_t index)
{
    Vm &vm = *this->vms[index];
    vm.alive = false;
    vm.suspended = false;
    vm.deferred.clear();
    vm.node.reset();
}

void SimulatedFleet::restart(std::size_t index)
{
    this->kill(index);
    this->startVm(index, this->generator());
}

void SimulatedFleet::setClockRate(std::size_t index, double rate)
{
    Vm &vm = *this->vms[index];
    vm.clockBase = this->localTime(index);
    vm.clockSet = this->now;
    vm.clockRate = rate;
}

void SimulatedFleet::setCatalogueVersion(std::size_t index, std::uint64_t version)
{
    this->vms[index]->catalogueVersion = version;
}

void SimulatedFleet::setRoster(std::size_t index, std::shared_ptr<const Roster> roster)
{
    this->vms[index]->roster = std::move(roster);
}

bool SimulatedFleet::isLinkOpen(std::size_t from, std::size_t to) const
{
    return this->vms[from]->alive && this->vms[to]->alive && !this->blockedLinks.contains({from, to});
}

bool SimulatedFleet::isRunning(std::size_t index) const
{
    return this->vms[index]->alive && !this->vms[index]->suspended;
}

bool SimulatedFleet::isAlive(std::size_t index) const
{
    return this->vms[index]->alive;
}

std::uint64_t SimulatedFleet::incarnationOf(std::size_t index) const
{
    return this->vms[index]->incarnation;
}

std::size_t SimulatedFleet::size() const
{
    return this->vms.size();
}

QuorumNode &SimulatedFleet::node(std::size_t index)
{
    return *this->vms[index]->node;
}

std::shared_ptr<QuorumNode> SimulatedFleet::sharedNode(std::size_t index)
{
    // The node uses the transport, so both are kept alive together.
    const std::shared_ptr<SimulatedTransport> transport = this->vms[index]->transport;
    const std::shared_ptr<QuorumNode> node = this->vms[index]->node;
    return std::shared_ptr<QuorumNode>(node.get(), [transport, node](QuorumNode *) {});
}

SteadyTime SimulatedFleet::localTime(std::size_t index) const
{
    const Vm &vm = *this->vms[index];
    return vm.clockBase + std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>((this->now - vm.clockSet).count()) * vm.clockRate));
}

std::chrono::nanoseconds SimulatedFleet::elapsed() const
{
    return this->now;
}

std::size_t SimulatedFleet::holdersOf(std::uint32_t shard, std::uint64_t &epoch)
{
    std::size_t holders = 0;
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
        const std::optional<std::uint64_t> held = this->isAlive(index) ? this->node(index).shardLeases().heldEpoch(shard) : std::nullopt;
        holders += held ? 1 : 0;
        epoch = held.value_or(epoch);
    }
    return holders;
}

FleetHandlers &SimulatedFleet::handlersOf(std::size_t index)
{
    return this->vms[index]->handlers;
}

std::mt19937_64 &SimulatedFleet::random()
{
    return this->generator;
}

} // namespace Hyssophall::Tests
