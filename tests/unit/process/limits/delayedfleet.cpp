#include "unit/process/limits/delayedfleet.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace HyssophallTest {

namespace {

constexpr std::chrono::milliseconds stepLength{1};
/// Time of a report from a VM through its relay to the other VMs.
constexpr std::chrono::milliseconds delay{25};
constexpr std::chrono::milliseconds statusInterval{150};
/// Time from a relay's confirmation until it knows that a majority of the relays has a message: they confirm it with their heartbeats.
constexpr std::chrono::milliseconds replicationDelay{250};
/// The same values as in RelayUplink and RelayExchange.
constexpr std::chrono::milliseconds statusLifetime{500};
constexpr std::chrono::milliseconds contactTimeout{700};
/// The same value as in TeamUseMonitor.
constexpr std::chrono::milliseconds maximumUpdateGap{500};
/// Longest time until a VM is connected to its relay again after a partition, a suspension or a restart.
constexpr int longestConnectMilliseconds = 300;
/// Time after their start at which relays begin to exchange reports. Before that, a VM receives only reports of VMs of the same relay.
constexpr std::chrono::milliseconds relayExchangeDelay{400};
/// The default of SharedRateLimiter::Options.
constexpr std::chrono::milliseconds confirmationWait{250};
constexpr std::size_t relays = 5;
constexpr std::chrono::seconds window{5};
constexpr double overage = 0.1;
constexpr double slack = 20;

SharedRateLimiter::Options optionsOfDeployment()
{
    SharedRateLimiter::Options options;
    options.window = window;
    // Simulated time doesn't advance while acquire() waits. The simulation waits instead.
    options.confirmationWait = std::chrono::milliseconds(0);
    options.overage = overage;
    options.slack = slack;
    return options;
}

} // namespace

DelayedFleet::DelayedFleet(std::size_t count, TeamRate rate, std::uint64_t seed)
    : options(optionsOfDeployment())
    , rate(rate)
    , random(seed)
    , now(std::chrono::hours(1))
    , relaysStarted(this->now - std::chrono::hours(1))
    , vms(count)
    , lastContact(count, this->now)
{
    this->startRelays();
    for (std::size_t vm = 0; vm < count; ++vm) {
        this->vms[vm].visibleUntil = this->now;
        this->create(vm);
    }
}

void DelayedFleet::run(std::chrono::milliseconds duration, int perSecond)
{
    for (const SteadyTime end = this->now + duration; this->now < end;) {
        this->step();
        constexpr int stepsPerSecond = 1000;
        if (static_cast<int>(this->random() % stepsPerSecond) < perSecond) {
            this->request(this->vms[this->random() % this->vms.size()]);
        }
    }
}

void DelayedFleet::partition(std::size_t count)
{
    for (std::size_t vm = 0; vm < count; ++vm) {
        this->vms[vm].isPartitioned = true;
        this->vms[vm].isConnected = false;
        this->vms[vm].inbox.clear();
        this->vms[vm].confirmations.clear();
        this->vms[vm].replications.clear();
    }
}

void DelayedFleet::heal()
{
    for (Vm &vm : this->vms) {
        if (vm.isPartitioned) {
            vm.isPartitioned = false;
            vm.connectedAt = this->now + std::chrono::milliseconds(this->random() % longestConnectMilliseconds);
        }
    }
}

void DelayedFleet::loseStreams(std::size_t count, std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    std::vector<std::size_t> order(this->vms.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), this->random);
    for (std::size_t index = 0; index < count; ++index) {
        Vm &vm = this->vms[order[index]];
        if (vm.hasLostStream) {
            continue;
        }
        const std::uint64_t choices = static_cast<std::uint64_t>((longest - shortest).count()) + 1;
        vm.connectedAt = this->now + shortest + std::chrono::milliseconds(this->random() % choices);
        vm.isConnected = false;
        vm.hasLostStream = true;
        // A relay notices the end of a stream at once.
        this->lastContact[order[index]] = SteadyTime();
        vm.statusTime.reset();
        vm.inbox.clear();
        vm.confirmations.clear();
        vm.replications.clear();
    }
}

void DelayedFleet::suspend(std::size_t count, std::chrono::milliseconds duration)
{
    for (std::size_t vm = 0; vm < count; ++vm) {
        this->vms[vm].resumesAt = this->now + duration;
        this->vms[vm].connectedAt = this->vms[vm].resumesAt + std::chrono::milliseconds(this->random() % longestConnectMilliseconds);
    }
}

void DelayedFleet::restartAll(std::chrono::milliseconds downtime)
{
    this->relaysStarted = this->now + downtime;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        this->vms[vm].inbox.clear();
        this->vms[vm].statusTime.reset();
        this->vms[vm].knownUntil.reset();
        this->vms[vm].waiting = 0;
        this->vms[vm].waitingRequests.clear();
        this->vms[vm].resumesAt = this->now + downtime;
        this->vms[vm].connectedAt = this->vms[vm].resumesAt + std::chrono::milliseconds(this->random() % longestConnectMilliseconds);
        this->vms[vm].isConnected = false;
        this->vms[vm].confirmations.clear();
        this->vms[vm].replications.clear();
        this->lastContact[vm] = SteadyTime();
    }
    this->run(downtime, 0);
    this->startRelays();
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        this->create(vm);
    }
}

std::size_t DelayedFleet::maximumInWindow() const
{
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < this->grants.size(); ++first) {
        while (next < this->grants.size() && this->grants[next] - this->grants[first] < window) {
            ++next;
        }
        most = std::max(most, next - first);
    }
    return most;
}

double DelayedFleet::allowed() const
{
    const std::chrono::duration<double> length = window;
    return (this->rate.rate * length.count() + this->rate.burst) * (1 + overage) + slack;
}

std::size_t DelayedFleet::admitted() const
{
    return this->grants.size();
}

std::size_t DelayedFleet::decided() const
{
    return this->grants.size() + this->refusals;
}

void DelayedFleet::create(std::size_t number)
{
    Vm &vm = this->vms[number];
    SharedRateLimiter::Hooks hooks;
    hooks.clock = [this] { return this->now; };
    hooks.deadlineClock = hooks.clock;
    hooks.teamRate = [this](const std::string &) { return this->rate; };
    hooks.visibleShare = [this, &vm] { return this->visibleShareOf(vm); };
    hooks.ownShare = [this] { return 1 / static_cast<double>(this->vms.size()); };
    hooks.knowledgeAge = [this, &vm]() -> std::optional<std::chrono::milliseconds> {
        if (!vm.knownUntil) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->now - *vm.knownUntil);
    };
    hooks.random = [this] { return this->random(); };
    hooks.reportAdmission = [this, number](const std::string &, bool) { return this->report(number); };
    vm.limiter = std::make_unique<SharedRateLimiter>(this->options, std::move(hooks));
}

bool DelayedFleet::isReachable(const Vm &vm) const
{
    return !vm.isPartitioned && this->now >= vm.resumesAt && this->now >= vm.connectedAt;
}

bool DelayedFleet::receivesFrom(std::size_t listener, std::size_t other) const
{
    return listener % relays == other % relays || this->now - this->relaysStarted >= relayExchangeDelay;
}

double DelayedFleet::visibleShareOf(const Vm &vm) const
{
    return vm.statusTime && this->now - *vm.statusTime < statusLifetime ? vm.visibleShare : 1 / static_cast<double>(this->vms.size());
}

void DelayedFleet::step()
{
    this->now += stepLength;
    if (this->now.time_since_epoch() % statusInterval == SteadyTime::duration::zero()) {
        this->sendStatus();
    }
    for (std::size_t number = 0; number < this->vms.size(); ++number) {
        Vm &vm = this->vms[number];
        if (!this->isReachable(vm)) {
            vm.isConnected = false;
        }
        if (this->now < vm.resumesAt) {
            continue;
        }
        // Waiting requests are decided first: callers' threads may run before the thread that reads the relay's messages.
        for (; vm.waiting > 0; --vm.waiting) {
            this->request(vm);
        }
        if (this->isReachable(vm) && !vm.isConnected) {
            this->connect(number);
        }
        this->receive(vm);
        this->decideWaiting(vm);
    }
}

void DelayedFleet::startRelays()
{
    this->relayHistories.clear();
    this->relayVisibleUntil.assign(relays, this->now);
    for (std::size_t relay = 0; relay < relays; ++relay) {
        this->relayHistories.emplace_back(window, this->now);
    }
}

void DelayedFleet::connect(std::size_t number)
{
    Vm &vm = this->vms[number];
    AdmissionHistory &relay = this->relayHistories[number % relays];
    if (vm.hasLostStream) {
        // The relay records up to when it received the reports of others, before it sends its record.
        this->recordShareAt(number % relays);
        this->lastContact[number] = this->now;
    }
    vm.isConnected = true;
    vm.inbox.clear();
    vm.confirmations.clear();
    vm.replications.clear();
    relay.fillGaps(vm.limiter->record(), this->now);
    const std::shared_ptr<UnreportedAdmissions> unreported = std::make_shared<UnreportedAdmissions>(vm.limiter->collectUnreported([] {}));
    unreported->vm = std::to_string(number);
    vm.visibleUntil = this->now;
    vm.limiter->recordVisibleShare(this->now, this->now, vm.visibleShare);
    vm.limiter->adopt(relay.record(this->now));
    this->distributeUnreported(number, unreported);
    this->scheduleConfirmation(vm, 0);
    if (vm.hasLostStream) {
        // The relay's first message contains its status.
        vm.hasLostStream = false;
        vm.visibleShare = this->shareAt(number % relays);
        vm.statusTime = this->now;
        vm.knownUntil = this->now;
    }
}

void DelayedFleet::sendStatus()
{
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (this->isReachable(this->vms[vm])) {
            this->lastContact[vm] = this->now;
        }
    }
    std::vector<std::optional<double>> shares(relays);
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (!this->isReachable(this->vms[vm])) {
            continue;
        }
        std::optional<double> &share = shares[vm % relays];
        if (!share) {
            share = this->shareAt(vm % relays);
            this->recordShareAt(vm % relays);
        }
        Vm &receiver = this->vms[vm];
        receiver.visibleShare = *share;
        if (!receiver.isConnected) {
            continue;
        }
        receiver.statusTime = this->now - delay;
        receiver.knownUntil = this->now - delay;
        const SteadyTime until = std::max(receiver.visibleUntil, *receiver.statusTime);
        receiver.limiter->recordVisibleShare(receiver.visibleUntil, until, receiver.visibleShare);
        receiver.visibleUntil = until;
    }
}

double DelayedFleet::shareAt(std::size_t relay) const
{
    std::size_t visible = 0;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        visible += this->receivesFrom(relay, vm) && this->now - this->lastContact[vm] < contactTimeout ? 1 : 0;
    }
    return static_cast<double>(visible) / static_cast<double>(this->vms.size());
}

void DelayedFleet::recordShareAt(std::size_t relay)
{
    SteadyTime &until = this->relayVisibleUntil[relay];
    const SteadyTime from = this->now - until < maximumUpdateGap ? until : this->now;
    this->relayHistories[relay].recordVisibleShare(from, this->now, this->shareAt(relay));
    until = this->now;
}

void DelayedFleet::receive(Vm &vm)
{
    for (; !vm.inbox.empty() && vm.inbox.front().due <= this->now; vm.inbox.pop_front()) {
        if (vm.inbox.front().unreported != nullptr) {
            vm.limiter->addUnreported(*vm.inbox.front().unreported);
        } else {
            vm.limiter->addRemoteAdmissions("red", vm.inbox.front().count);
        }
    }
    for (; !vm.confirmations.empty() && vm.confirmations.front().due <= this->now; vm.confirmations.pop_front()) {
        vm.limiter->confirm(vm.confirmations.front().number);
    }
    for (; !vm.replications.empty() && vm.replications.front().due <= this->now; vm.replications.pop_front()) {
        vm.limiter->confirmReplicated(vm.replications.front().number, vm.replications.front().sentAt);
    }
}

void DelayedFleet::request(Vm &vm)
{
    if (this->now < vm.resumesAt) {
        ++vm.waiting;
        return;
    }
    WaitingRequest request;
    if (!this->tryToDecide(vm, request, false)) {
        vm.waitingRequests.push_back(request);
    }
}

void DelayedFleet::decideWaiting(Vm &vm)
{
    if (vm.waitingRequests.empty()) {
        return;
    }
    std::deque<WaitingRequest> waiting;
    waiting.swap(vm.waitingRequests);
    for (WaitingRequest &request : waiting) {
        if (!this->tryToDecide(vm, request, true)) {
            vm.waitingRequests.push_back(request);
        }
    }
}

bool DelayedFleet::tryToDecide(Vm &vm, WaitingRequest &request, bool hasWaited)
{
    if (!request.waitsForConfirmationSince) {
        if (vm.limiter->mustWaitForKnowledge("red", hasWaited)) {
            return false;
        }
        request.waitsForConfirmationSince = this->now;
    }
    if (this->now - *request.waitsForConfirmationSince < confirmationWait && vm.limiter->mustWaitForConfirmation("red")) {
        return false;
    }
    if (vm.limiter->acquire("red", this->now).kind == RateDecision::Kind::Granted) {
        this->grants.push_back(this->now);
    } else {
        ++this->refusals;
    }
    return true;
}

std::uint64_t DelayedFleet::report(std::size_t from)
{
    Vm &vm = this->vms[from];
    ++vm.number;
    if (vm.isConnected) {
        this->distribute(from, 1);
        this->scheduleConfirmation(vm, vm.number);
    }
    return vm.number;
}

void DelayedFleet::scheduleConfirmation(Vm &vm, std::uint64_t number)
{
    vm.confirmations.push_back({this->now + delay, number, this->now});
    vm.replications.push_back({this->now + delay + replicationDelay, number, this->now});
}

void DelayedFleet::distribute(std::size_t from, std::uint32_t count)
{
    for (std::size_t relay = 0; relay < relays; ++relay) {
        if (this->receivesFrom(relay, from)) {
            this->relayHistories[relay].add("red", count, this->now);
        }
    }
    for (std::size_t to = 0; to < this->vms.size(); ++to) {
        if (to != from && this->receivesFrom(to, from) && this->vms[to].isConnected) {
            this->vms[to].inbox.push_back({this->now + delay, count, nullptr});
        }
    }
}

void DelayedFleet::distributeUnreported(std::size_t from, const std::shared_ptr<const UnreportedAdmissions> &unreported)
{
    for (std::size_t relay = 0; relay < relays; ++relay) {
        if (this->receivesFrom(relay, from)) {
            this->relayHistories[relay].addUnreported(*unreported, 1 / static_cast<double>(this->vms.size()), this->now);
        }
    }
    for (std::size_t to = 0; to < this->vms.size(); ++to) {
        if (to != from && this->receivesFrom(to, from) && this->vms[to].isConnected) {
            this->vms[to].inbox.push_back({this->now + delay, 0, unreported});
        }
    }
}

} // namespace HyssophallTest
