#include "unit/process/relay/splitfleet.h"

#include "process/relay/admissionmessages.h"

#include <algorithm>
#include <map>

namespace HyssophallTest {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds stepLength{5};
/// Time of a message on a stream.
constexpr Milliseconds delay{5};
/// Intervals of messages while there is something to send, and of heartbeats, as on small deployments.
constexpr Milliseconds vmInterval{5};
constexpr Milliseconds relayToVmInterval{15};
constexpr Milliseconds relayInterval{10};
constexpr Milliseconds heartbeat{150};
/// The same value as in RelayExchange.
constexpr Milliseconds silenceTimeout{600};
constexpr Milliseconds reconnectDelay{150};
/// The same value as in RelayUplink.
constexpr Milliseconds confirmationMaximumAge{500};
constexpr int longestConnectMilliseconds = 60;
/// VMs leave a relay that isn't current after a time between these, as RelayMoves does.
constexpr int shortestStayMilliseconds = 250;
constexpr int longestStayMilliseconds = 700;
/// The default of SharedRateLimiter::Options.
constexpr Milliseconds confirmationWait{250};
constexpr std::size_t relayCount = 5;
constexpr std::size_t majority = 3;
constexpr std::chrono::seconds window{5};
constexpr double overage = 0.1;
constexpr double slack = 20;
const std::string team = "red";

SharedRateLimiter::Options optionsOfDeployment()
{
    SharedRateLimiter::Options options;
    options.window = window;
    // Simulated time doesn't advance while acquire() waits. The simulation waits instead.
    options.confirmationWait = Milliseconds(0);
    options.overage = overage;
    options.slack = slack;
    return options;
}

std::string addressOf(std::size_t relay)
{
    return "10.0.0." + std::to_string(relay + 1) + ":7000";
}

RelayMessages::Update nextMessage(UpdateBuffer &buffer)
{
    return buffer.nextMessage(std::chrono::steady_clock::now(), {Milliseconds(0), Milliseconds(0)}).value();
}

struct Message {
    SteadyTime due;
    RelayMessages::Update update;
};

} // namespace

struct SplitFleet::Relay {
    std::unique_ptr<RelayHub> hub;
    /// By address.
    std::map<std::string, std::shared_ptr<RelayPeer>> peers;
    std::uint64_t incarnation = 0;
};

/// The stream that relay @p from opens to relay @p to.
struct SplitFleet::Link {
    std::size_t from = 0;
    std::size_t to = 0;
    std::shared_ptr<RelaySubscriber> subscriber;
    std::deque<Message> forward;
    std::deque<Message> backward;
    SteadyTime sentForwardAt;
    SteadyTime sentBackwardAt;
    SteadyTime receivedForwardAt;
    SteadyTime receivedBackwardAt;
    SteadyTime connectsAt;
};

struct SplitFleet::Vm {
    std::size_t number = 0;
    std::size_t relay = 0;
    std::unique_ptr<SharedRateLimiter> limiter;
    UpdateBuffer outgoing;
    bool hasUpdates = false;
    std::shared_ptr<RelaySubscriber> subscriber;
    std::deque<Message> toRelay;
    std::deque<Message> fromRelay;
    SteadyTime connectsAt;
    SteadyTime sentAt;
    SteadyTime relaySentAt;
    /// When each message was sent, until it is confirmed.
    std::deque<std::pair<std::uint64_t, SteadyTime>> sent;
    /// The same until a majority of the relays has it.
    std::deque<std::pair<std::uint64_t, SteadyTime>> unreplicated;
    RelayMessages::RelayStatus status;
    bool hasStatus = false;
    std::optional<SteadyTime> confirmedSentAt;
    std::optional<SteadyTime> visibleUntil;
    /// When the VM leaves its relay if that isn't current before.
    std::optional<SteadyTime> leavesAt;
    /// Requests that wait for the connection or for confirmations. Each has waited for confirmations since its time, or hasn't if that is zero.
    std::deque<SteadyTime> waiting;
};

SplitFleet::SplitFleet(std::size_t count, TeamRate rate, std::uint64_t seed)
    : options(optionsOfDeployment())
    , rate(rate)
    , random(seed)
    , now(std::chrono::hours(1))
{
    for (std::size_t relay = 0; relay < relayCount; ++relay) {
        this->relays.push_back(std::make_unique<Relay>());
        this->startRelay(relay);
    }
    for (std::size_t from = 0; from < relayCount; ++from) {
        for (std::size_t to = 0; to < relayCount; ++to) {
            if (from != to) {
                this->links.push_back(std::make_unique<Link>());
                this->links.back()->from = from;
                this->links.back()->to = to;
                this->links.back()->connectsAt = this->now;
            }
        }
    }
    for (std::size_t vm = 0; vm < count; ++vm) {
        this->vms.push_back(std::make_unique<Vm>());
        this->createVm(vm);
    }
}

SplitFleet::~SplitFleet() = default;

void SplitFleet::run(Milliseconds duration, int perSecond)
{
    constexpr int stepsPerSecond = 200;
    for (const SteadyTime end = this->now + duration; this->now < end;) {
        this->step();
        std::binomial_distribution<int> arrivals(10 * stepsPerSecond, static_cast<double>(perSecond) / (10.0 * stepsPerSecond * stepsPerSecond));
        for (int left = perSecond > 0 ? arrivals(this->random) : 0; left > 0; --left) {
            this->request(*this->vms[this->random() % this->vms.size()]);
        }
    }
}

void SplitFleet::cutRelays(std::size_t count)
{
    this->cutCount = count;
}

void SplitFleet::heal()
{
    this->cutCount = 0;
}

void SplitFleet::restartRelay(std::size_t relay)
{
    for (const std::unique_ptr<Link> &link : this->links) {
        if (link->from == relay || link->to == relay) {
            this->endLink(*link);
        }
    }
    this->loseStreams(relay);
    this->startRelay(relay);
}

void SplitFleet::loseStreams(std::size_t relay)
{
    for (const std::unique_ptr<Vm> &vm : this->vms) {
        if (vm->relay == relay) {
            this->disconnectVm(*vm);
            vm->relay = this->randomCurrentRelay(relay).value_or(relay);
        }
    }
}

std::size_t SplitFleet::maximumInWindow() const
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

double SplitFleet::allowed() const
{
    const std::chrono::duration<double> length = window;
    return (this->rate.rate * length.count() + this->rate.burst) * (1 + overage) + slack;
}

std::size_t SplitFleet::admitted() const
{
    return this->grants.size();
}

std::size_t SplitFleet::decided() const
{
    return this->grants.size() + this->refusals;
}

void SplitFleet::startRelay(std::size_t number)
{
    Relay &relay = *this->relays[number];
    relay.hub.reset();
    relay.peers.clear();
    ++relay.incarnation;
    RelayHub::Options hubOptions;
    hubOptions.own.set_address(addressOf(number));
    hubOptions.own.set_failure_domain("d" + std::to_string(number));
    hubOptions.majority = majority;
    hubOptions.board.random = [this] { return this->random(); };
    hubOptions.clock = [this] { return this->now; };
    hubOptions.rateWindow = window;
    RelayHub::Hooks hooks;
    hooks.isControlReplicaUpToDate = [] { return true; };
    hooks.peerFound = [&relay](const std::shared_ptr<RelayPeer> &peer) { relay.peers[peer->address] = peer; };
    relay.hub = std::make_unique<RelayHub>(hubOptions, hooks);
    for (std::size_t other = 0; other < relayCount; ++other) {
        RelayMessages::RelayAddress address;
        address.set_address(addressOf(other));
        address.set_failure_domain("d" + std::to_string(other));
        relay.hub->addRelay(address);
    }
}

bool SplitFleet::isCut(std::size_t relay, std::size_t other) const
{
    return (relay >= relayCount - this->cutCount) != (other >= relayCount - this->cutCount);
}

void SplitFleet::step()
{
    this->now += stepLength;
    for (const std::unique_ptr<Link> &link : this->links) {
        this->stepLink(*link);
    }
    for (const std::unique_ptr<Vm> &vm : this->vms) {
        this->stepVm(*vm);
    }
}

void SplitFleet::stepLink(Link &link)
{
    Relay &from = *this->relays[link.from];
    Relay &to = *this->relays[link.to];
    const std::shared_ptr<RelayPeer> &peer = from.peers.at(addressOf(link.to));
    const bool isOpen = !this->isCut(link.from, link.to);
    if (link.subscriber == nullptr) {
        if (isOpen && this->now >= link.connectsAt) {
            link.subscriber = to.hub->connect(from.hub->peerGreeting(*peer));
            link.sentForwardAt = link.sentBackwardAt = link.receivedForwardAt = link.receivedBackwardAt = this->now;
        }
        return;
    }
    if (this->now - link.sentForwardAt >= relayInterval) {
        link.sentForwardAt = this->now;
        link.forward.push_back({this->now + delay, nextMessage(peer->buffer)});
    }
    if (this->now - link.sentBackwardAt >= heartbeat) {
        link.sentBackwardAt = this->now;
        RelayMessages::Update update = nextMessage(link.subscriber->buffer);
        to.hub->addStatus(*link.subscriber, update);
        link.backward.push_back({this->now + delay, std::move(update)});
    }
    for (; isOpen && !link.forward.empty() && link.forward.front().due <= this->now; link.forward.pop_front()) {
        link.receivedForwardAt = this->now;
        to.hub->receive(*link.subscriber, link.forward.front().update);
    }
    for (; isOpen && !link.backward.empty() && link.backward.front().due <= this->now; link.backward.pop_front()) {
        link.receivedBackwardAt = this->now;
        from.hub->receiveFromPeer(*peer, link.backward.front().update);
    }
    if (this->now - std::min(link.receivedForwardAt, link.receivedBackwardAt) >= silenceTimeout) {
        this->endLink(link);
    }
}

void SplitFleet::endLink(Link &link)
{
    if (link.subscriber == nullptr) {
        return;
    }
    this->relays[link.to]->hub->disconnect(link.subscriber);
    Relay &from = *this->relays[link.from];
    from.hub->peerDisconnected(*from.peers.at(addressOf(link.to)));
    link.subscriber.reset();
    link.forward.clear();
    link.backward.clear();
    link.connectsAt = this->now + reconnectDelay;
}

void SplitFleet::createVm(std::size_t number)
{
    Vm &vm = *this->vms[number];
    vm.number = number;
    vm.relay = number % relayCount;
    vm.connectsAt = this->now + Milliseconds(this->random() % longestConnectMilliseconds);
    SharedRateLimiter::Hooks hooks;
    hooks.clock = [this] { return this->now; };
    hooks.deadlineClock = hooks.clock;
    hooks.teamRate = [this](const std::string &) { return this->rate; };
    hooks.ownShare = [&vm] { return 1.0 / std::max<std::uint32_t>(1, vm.status.known_vms()); };
    hooks.visibleShare = [this, &vm, ownShare = hooks.ownShare] { return this->hears(vm) ? this->reportedShare(vm) : ownShare(); };
    hooks.knowledgeAge = [this, &vm]() -> std::optional<Milliseconds> {
        return vm.confirmedSentAt ? std::optional<Milliseconds>(std::chrono::duration_cast<Milliseconds>(this->now - *vm.confirmedSentAt)) : std::nullopt;
    };
    hooks.receivesUpdates = [this, &vm] { return this->hears(vm); };
    hooks.reportAdmission = [&vm](const std::string &name, bool isScarce) {
        RelayMessages::Update update;
        RelayMessages::TeamUse &use = *update.add_teams();
        use.set_team(name);
        use.set_admitted(1);
        use.set_scarce(isScarce);
        vm.hasUpdates = true;
        return vm.outgoing.add(update);
    };
    hooks.random = [this] { return this->random(); };
    vm.limiter = std::make_unique<SharedRateLimiter>(this->options, std::move(hooks));
}

void SplitFleet::stepVm(Vm &vm)
{
    if (vm.subscriber == nullptr) {
        if (this->now >= vm.connectsAt) {
            this->connectVm(vm);
        }
        this->decideWaiting(vm);
        return;
    }
    RelayHub &hub = *this->relays[vm.relay]->hub;
    if (this->now - vm.sentAt >= (vm.hasUpdates ? vmInterval : heartbeat)) {
        vm.sentAt = this->now;
        vm.hasUpdates = false;
        RelayMessages::Update update = nextMessage(vm.outgoing);
        vm.sent.push_back({update.sequence(), this->now});
        vm.unreplicated.push_back(vm.sent.back());
        vm.toRelay.push_back({this->now + delay, std::move(update)});
    }
    for (; !vm.toRelay.empty() && vm.toRelay.front().due <= this->now; vm.toRelay.pop_front()) {
        hub.receive(*vm.subscriber, vm.toRelay.front().update);
    }
    if (this->now - vm.relaySentAt >= relayToVmInterval) {
        vm.relaySentAt = this->now;
        RelayMessages::Update update = nextMessage(vm.subscriber->buffer);
        hub.addStatus(*vm.subscriber, update);
        vm.fromRelay.push_back({this->now + delay, std::move(update)});
    }
    for (; !vm.fromRelay.empty() && vm.fromRelay.front().due <= this->now; vm.fromRelay.pop_front()) {
        this->receive(vm, vm.fromRelay.front().update);
    }
    this->moveIfNotCurrent(vm);
    this->decideWaiting(vm);
}

void SplitFleet::connectVm(Vm &vm)
{
    RelayMessages::Update greeting;
    *greeting.mutable_admissions() = encodeAdmissions(vm.limiter->record());
    UnreportedAdmissions unreported = vm.limiter->collectUnreported([&vm] { vm.outgoing.clearTeams(); });
    unreported.vm = "vm-" + std::to_string(vm.number);
    *greeting.add_unreported() = encodeUnreported(unreported);
    greeting.mutable_greeting()->set_vm(unreported.vm);
    greeting.mutable_greeting()->set_failure_domain("d" + std::to_string(vm.number % relayCount));
    greeting.mutable_greeting()->set_known_vms(vm.status.known_vms());
    vm.sent = {{0, this->now}};
    vm.unreplicated = vm.sent;
    vm.visibleUntil.reset();
    vm.sentAt = vm.relaySentAt = this->now;
    vm.subscriber = this->relays[vm.relay]->hub->connect(greeting);
}

void SplitFleet::disconnectVm(Vm &vm)
{
    if (vm.subscriber == nullptr) {
        return;
    }
    this->relays[vm.relay]->hub->disconnect(vm.subscriber);
    vm.subscriber.reset();
    vm.toRelay.clear();
    vm.fromRelay.clear();
    vm.hasStatus = false;
    vm.leavesAt.reset();
    vm.connectsAt = this->now + Milliseconds(this->random() % longestConnectMilliseconds);
}

void SplitFleet::receive(Vm &vm, const RelayMessages::Update &update)
{
    while (!vm.sent.empty() && vm.sent.front().first <= update.confirmed()) {
        vm.confirmedSentAt = vm.sent.front().second;
        vm.sent.pop_front();
    }
    if (update.has_status()) {
        vm.status = update.status();
        vm.hasStatus = true;
    }
    const SteadyTime from = vm.visibleUntil.value_or(this->now);
    const SteadyTime to = std::max(from, vm.confirmedSentAt.value_or(from));
    vm.visibleUntil = to;
    vm.limiter->recordVisibleShare(from, to, this->reportedShare(vm));
    if (update.status().lost_age_milliseconds() > 0) {
        vm.limiter->limitVisibleShare(to - Milliseconds(update.status().lost_age_milliseconds()), this->reportedShare(vm));
    }
    vm.limiter->confirm(update.confirmed());
    while (!vm.unreplicated.empty() && vm.unreplicated.front().first < update.replicated()) {
        vm.limiter->confirmReplicated(vm.unreplicated.front().first, vm.unreplicated.front().second);
        vm.unreplicated.pop_front();
    }
    if (update.has_admissions()) {
        vm.limiter->adopt(decodeAdmissions(update.admissions()));
    }
    for (const RelayMessages::UnreportedAdmissions &unreported : update.unreported()) {
        if (unreported.vm() != "vm-" + std::to_string(vm.number)) {
            vm.limiter->addUnreported(decodeUnreported(unreported));
        }
    }
    for (const RelayMessages::TeamUse &use : update.teams()) {
        vm.limiter->addRemoteAdmissions(use.team(), use.admitted());
    }
}

void SplitFleet::moveIfNotCurrent(Vm &vm)
{
    if (!vm.hasStatus || vm.status.current()) {
        vm.leavesAt.reset();
        return;
    }
    if (!vm.leavesAt) {
        const std::uint64_t choices = longestStayMilliseconds - shortestStayMilliseconds;
        vm.leavesAt = this->now + Milliseconds(shortestStayMilliseconds + this->random() % choices);
    }
    if (this->now < *vm.leavesAt) {
        return;
    }
    const std::optional<std::size_t> other = this->randomCurrentRelay(vm.relay);
    if (other) {
        this->disconnectVm(vm);
        vm.relay = *other;
    }
}

std::optional<std::size_t> SplitFleet::randomCurrentRelay(std::size_t except)
{
    std::vector<std::size_t> current;
    for (std::size_t relay = 0; relay < relayCount; ++relay) {
        if (relay != except && this->relays[relay]->hub->status().current()) {
            current.push_back(relay);
        }
    }
    return current.empty() ? std::nullopt : std::optional<std::size_t>(current[this->random() % current.size()]);
}

bool SplitFleet::hears(const Vm &vm) const
{
    return vm.hasStatus && vm.confirmedSentAt && this->now - *vm.confirmedSentAt < confirmationMaximumAge;
}

double SplitFleet::reportedShare(const Vm &vm) const
{
    const double known = std::max<std::uint32_t>(1, vm.status.known_vms());
    return std::clamp(vm.status.visible_vms() / known, 1 / known, 1.0);
}

void SplitFleet::request(Vm &vm)
{
    SteadyTime since;
    if (!this->tryToDecide(vm, since, false)) {
        vm.waiting.push_back(since);
    }
}

void SplitFleet::decideWaiting(Vm &vm)
{
    std::deque<SteadyTime> waiting;
    waiting.swap(vm.waiting);
    for (SteadyTime &since : waiting) {
        if (!this->tryToDecide(vm, since, true)) {
            vm.waiting.push_back(since);
        }
    }
}

bool SplitFleet::tryToDecide(Vm &vm, SteadyTime &waitsForConfirmationSince, bool hasWaited)
{
    if (waitsForConfirmationSince == SteadyTime()) {
        if (vm.limiter->mustWaitForKnowledge(team, hasWaited)) {
            return false;
        }
        waitsForConfirmationSince = this->now;
    }
    if (this->now - waitsForConfirmationSince < confirmationWait && vm.limiter->mustWaitForConfirmation(team)) {
        return false;
    }
    if (vm.limiter->acquire(team, this->now).kind == RateDecision::Kind::Granted) {
        this->grants.push_back(this->now);
    } else {
        ++this->refusals;
    }
    return true;
}

} // namespace HyssophallTest
