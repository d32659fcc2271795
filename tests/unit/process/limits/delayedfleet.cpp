#include "unit/process/limits/delayedfleet.h"

#include <algorithm>

namespace HyssophallTest {

namespace {

constexpr std::chrono::milliseconds stepLength{1};
/// From a VM through its relay to the others.
constexpr std::chrono::milliseconds delay{25};
constexpr std::chrono::milliseconds statusInterval{150};
/// As in RelayUplink and RelayExchange.
constexpr std::chrono::milliseconds knowledgeLife{500};
constexpr std::chrono::milliseconds silenceLimit{700};
/// Connections to relays stand again within this time after a cut, a pause or a start.
constexpr int longestConnectMilliseconds = 300;
/// Relays that have just started hear each other only then; until then, the VMs of each hear those of the same relay alone.
constexpr std::chrono::milliseconds relaysMeet{400};
constexpr std::size_t relays = 5;
constexpr std::chrono::seconds window{5};
constexpr double overage = 0.1;
constexpr double slack = 20;

SharedRateLimiter::Options optionsOfDeployment()
{
    SharedRateLimiter::Options options;
    options.window = window;
    // Simulated time stands still while a request waits.
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
    , seen(count, this->now)
{
    this->startRelays();
    for (std::size_t vm = 0; vm < count; ++vm) {
        this->vms[vm].heardUntil = this->now;
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

void DelayedFleet::cut(std::size_t count)
{
    for (std::size_t vm = 0; vm < count; ++vm) {
        this->vms[vm].isCut = true;
        this->vms[vm].isConnected = false;
        this->vms[vm].inbox.clear();
        this->vms[vm].confirmations.clear();
    }
}

void DelayedFleet::heal()
{
    for (Vm &vm : this->vms) {
        if (vm.isCut) {
            vm.isCut = false;
            vm.connectedAt = this->now + std::chrono::milliseconds(this->random() % longestConnectMilliseconds);
        }
    }
}

void DelayedFleet::freeze(std::size_t count, std::chrono::milliseconds duration)
{
    for (std::size_t vm = 0; vm < count; ++vm) {
        this->vms[vm].backAt = this->now + duration;
        this->vms[vm].connectedAt = this->vms[vm].backAt + std::chrono::milliseconds(this->random() % longestConnectMilliseconds);
    }
}

void DelayedFleet::restartAll(std::chrono::milliseconds away)
{
    this->relaysStarted = this->now + away;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        this->vms[vm].inbox.clear();
        this->vms[vm].knownAsOf.reset();
        this->vms[vm].waiting = 0;
        this->vms[vm].backAt = this->now + away;
        this->vms[vm].connectedAt = this->vms[vm].backAt + std::chrono::milliseconds(this->random() % longestConnectMilliseconds);
        this->vms[vm].isConnected = false;
        this->vms[vm].confirmations.clear();
        this->seen[vm] = SteadyTime();
    }
    this->run(away, 0);
    this->startRelays();
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        this->create(vm);
    }
}

std::size_t DelayedFleet::mostInWindow() const
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

void DelayedFleet::create(std::size_t number)
{
    Vm &vm = this->vms[number];
    SharedRateLimiter::Hooks hooks;
    hooks.clock = [this] { return this->now; };
    hooks.deadlineClock = hooks.clock;
    hooks.rateOf = [this](const std::string &) { return this->rate; };
    hooks.visibleShare = [this, &vm] { return this->visibleShareOf(vm); };
    hooks.ownShare = [this] { return 1 / static_cast<double>(this->vms.size()); };
    hooks.knowledgeAge = [] { return std::chrono::milliseconds(0); };
    hooks.admitted = [this, number](const std::string &, bool) { return this->tell(number); };
    vm.limiter = std::make_unique<SharedRateLimiter>(this->options, std::move(hooks));
}

bool DelayedFleet::isInTouch(const Vm &vm) const
{
    return !vm.isCut && this->now >= vm.backAt && this->now >= vm.connectedAt;
}

bool DelayedFleet::isHeard(std::size_t listener, std::size_t other) const
{
    return listener % relays == other % relays || this->now - this->relaysStarted >= relaysMeet;
}

double DelayedFleet::visibleShareOf(const Vm &vm) const
{
    return vm.knownAsOf && this->now - *vm.knownAsOf < knowledgeLife ? vm.visibleShare : 1 / static_cast<double>(this->vms.size());
}

void DelayedFleet::step()
{
    this->now += stepLength;
    if (this->now.time_since_epoch() % statusInterval == SteadyTime::duration::zero()) {
        this->tellStatus();
    }
    for (std::size_t number = 0; number < this->vms.size(); ++number) {
        Vm &vm = this->vms[number];
        if (!this->isInTouch(vm)) {
            vm.isConnected = false;
        }
        if (this->now < vm.backAt) {
            continue;
        }
        // Callers' threads are as quick as the one that reads what the relay wrote.
        for (; vm.waiting > 0; --vm.waiting) {
            this->request(vm);
        }
        if (this->isInTouch(vm) && !vm.isConnected) {
            this->connect(number);
        }
        this->receive(vm);
    }
}

void DelayedFleet::startRelays()
{
    this->histories.clear();
    for (std::size_t relay = 0; relay < relays; ++relay) {
        this->histories.emplace_back(window, this->now);
    }
}

void DelayedFleet::connect(std::size_t number)
{
    Vm &vm = this->vms[number];
    AdmissionHistory &relay = this->histories[number % relays];
    vm.isConnected = true;
    vm.inbox.clear();
    vm.confirmations.clear();
    relay.fillGaps(vm.limiter->record(), this->now);
    vm.heardUntil = this->now;
    vm.limiter->noteHeard(this->now, this->now, vm.visibleShare);
    vm.limiter->fillGaps(relay.record(this->now));
    for (const std::pair<const std::string, std::uint32_t> &untold : vm.limiter->takeUnconfirmed(vm.number + 1)) {
        this->passOn(number, untold.second);
    }
    vm.confirmations.push_back({this->now + delay, 0});
}

void DelayedFleet::tellStatus()
{
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (this->isInTouch(this->vms[vm])) {
            this->seen[vm] = this->now;
        }
    }
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (!this->isInTouch(this->vms[vm])) {
            continue;
        }
        std::size_t visible = 0;
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            visible += this->isHeard(vm, other) && this->now - this->seen[other] < silenceLimit ? 1 : 0;
        }
        Vm &told = this->vms[vm];
        told.visibleShare = static_cast<double>(visible) / static_cast<double>(this->vms.size());
        this->histories[vm % relays].noteHeard(this->now - statusInterval, this->now, told.visibleShare);
        if (!told.isConnected) {
            continue;
        }
        told.knownAsOf = this->now - delay;
        const SteadyTime until = std::max(told.heardUntil, *told.knownAsOf);
        told.limiter->noteHeard(told.heardUntil, until, told.visibleShare);
        told.heardUntil = until;
    }
}

void DelayedFleet::receive(Vm &vm)
{
    for (; !vm.inbox.empty() && vm.inbox.front().due <= this->now; vm.inbox.pop_front()) {
        vm.limiter->admittedElsewhere("red", vm.inbox.front().count);
    }
    for (; !vm.confirmations.empty() && vm.confirmations.front().due <= this->now; vm.confirmations.pop_front()) {
        vm.limiter->confirm(vm.confirmations.front().number);
    }
}

void DelayedFleet::request(Vm &vm)
{
    if (this->now < vm.backAt) {
        ++vm.waiting;
        return;
    }
    if (vm.limiter->acquire("red", this->now).kind == RateDecision::Kind::Granted) {
        this->grants.push_back(this->now);
    }
}

std::uint64_t DelayedFleet::tell(std::size_t from)
{
    Vm &vm = this->vms[from];
    ++vm.number;
    if (vm.isConnected) {
        this->passOn(from, 1);
        vm.confirmations.push_back({this->now + delay, vm.number});
    }
    return vm.number;
}

void DelayedFleet::passOn(std::size_t from, std::uint32_t count)
{
    for (std::size_t relay = 0; relay < relays; ++relay) {
        if (this->isHeard(relay, from)) {
            this->histories[relay].add("red", count, this->now);
        }
    }
    for (std::size_t to = 0; to < this->vms.size(); ++to) {
        if (to != from && this->isHeard(to, from) && this->vms[to].isConnected) {
            this->vms[to].inbox.push_back({this->now + delay, count});
        }
    }
}

} // namespace HyssophallTest
