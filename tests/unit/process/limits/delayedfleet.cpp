#include "unit/process/limits/delayedfleet.h"

#include <algorithm>

namespace HyssophallTest {

namespace {

constexpr std::chrono::milliseconds stepLength{1};
/// Time of a report from a VM through its relay to the other VMs.
constexpr std::chrono::milliseconds delay{25};
constexpr std::chrono::milliseconds statusInterval{150};
/// The same values as in RelayUplink and RelayExchange.
constexpr std::chrono::milliseconds statusLifetime{500};
constexpr std::chrono::milliseconds contactTimeout{700};
/// Longest time until a VM is connected to its relay again after a partition, a suspension or a restart.
constexpr int longestConnectMilliseconds = 300;
/// Time after their start at which relays begin to exchange reports. Before that, a VM receives only reports of VMs of the same relay.
constexpr std::chrono::milliseconds relayExchangeDelay{400};
constexpr std::size_t relays = 5;
constexpr std::chrono::seconds window{5};
constexpr double overage = 0.1;
constexpr double slack = 20;

SharedRateLimiter::Options optionsOfDeployment()
{
    SharedRateLimiter::Options options;
    options.window = window;
    // Simulated time doesn't advance while acquire() waits.
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
        this->vms[vm].waiting = 0;
        this->vms[vm].resumesAt = this->now + downtime;
        this->vms[vm].connectedAt = this->vms[vm].resumesAt + std::chrono::milliseconds(this->random() % longestConnectMilliseconds);
        this->vms[vm].isConnected = false;
        this->vms[vm].confirmations.clear();
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
    hooks.knowledgeAge = [] { return std::chrono::milliseconds(0); };
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
    }
}

void DelayedFleet::startRelays()
{
    this->relayHistories.clear();
    for (std::size_t relay = 0; relay < relays; ++relay) {
        this->relayHistories.emplace_back(window, this->now);
    }
}

void DelayedFleet::connect(std::size_t number)
{
    Vm &vm = this->vms[number];
    AdmissionHistory &relay = this->relayHistories[number % relays];
    vm.isConnected = true;
    vm.inbox.clear();
    vm.confirmations.clear();
    relay.fillGaps(vm.limiter->record(), this->now);
    const std::shared_ptr<UnreportedAdmissions> unreported = std::make_shared<UnreportedAdmissions>(vm.limiter->collectUnreported([] {}));
    unreported->vm = std::to_string(number);
    vm.visibleUntil = this->now;
    vm.limiter->recordVisibleShare(this->now, this->now, vm.visibleShare);
    vm.limiter->fillGaps(relay.record(this->now));
    this->distributeUnreported(number, unreported);
    vm.confirmations.push_back({this->now + delay, 0});
}

void DelayedFleet::sendStatus()
{
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (this->isReachable(this->vms[vm])) {
            this->lastContact[vm] = this->now;
        }
    }
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (!this->isReachable(this->vms[vm])) {
            continue;
        }
        std::size_t visible = 0;
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            visible += this->receivesFrom(vm, other) && this->now - this->lastContact[other] < contactTimeout ? 1 : 0;
        }
        Vm &receiver = this->vms[vm];
        receiver.visibleShare = static_cast<double>(visible) / static_cast<double>(this->vms.size());
        this->relayHistories[vm % relays].recordVisibleShare(this->now - statusInterval, this->now, receiver.visibleShare);
        if (!receiver.isConnected) {
            continue;
        }
        receiver.statusTime = this->now - delay;
        const SteadyTime until = std::max(receiver.visibleUntil, *receiver.statusTime);
        receiver.limiter->recordVisibleShare(receiver.visibleUntil, until, receiver.visibleShare);
        receiver.visibleUntil = until;
    }
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
}

void DelayedFleet::request(Vm &vm)
{
    if (this->now < vm.resumesAt) {
        ++vm.waiting;
        return;
    }
    if (vm.limiter->acquire("red", this->now).kind == RateDecision::Kind::Granted) {
        this->grants.push_back(this->now);
    } else {
        ++this->refusals;
    }
}

std::uint64_t DelayedFleet::report(std::size_t from)
{
    Vm &vm = this->vms[from];
    ++vm.number;
    if (vm.isConnected) {
        this->distribute(from, 1);
        vm.confirmations.push_back({this->now + delay, vm.number});
    }
    return vm.number;
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
