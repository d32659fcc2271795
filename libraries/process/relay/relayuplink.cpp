#include "process/relay/relayuplink.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace Hyssophall {

namespace {

/// Pause between two connections. It and the connect timeout double with each connection that fails in a row, so that a relay on which many VMs wait isn't
/// kept busy by connections that are given up too early.
constexpr std::chrono::milliseconds initialReconnectDelay{30};
constexpr std::chrono::milliseconds maximumReconnectDelay{500};
constexpr std::chrono::milliseconds maximumConnectTimeout{2000};
/// Updates are collected for longer in a larger fleet, whose relays get messages of more VMs.
constexpr std::chrono::milliseconds minimumBatchDelay{4};
constexpr std::chrono::milliseconds maximumExtraDelay{30};
constexpr std::uint32_t vmsPerMillisecond = 15;
constexpr int maximumDoublings = 6;
/// A relay that isn't current isn't tried again for this long. It may be current again as soon as the control group has elected a leader.
constexpr std::chrono::milliseconds notCurrentBackoff{3000};
/// How long a relay may report that it isn't current before the VM leaves it. A change of the control group's leader takes about this long,
/// and another relay wouldn't help meanwhile.
constexpr std::chrono::milliseconds notCurrentTimeout{700};
/// The same limit while the VM has no configuration. A relay that has a configuration sends it with its first message; a relay that started with
/// an empty disk has none for a while.
constexpr std::chrono::milliseconds unconfiguredTimeout{250};
/// Both limits double with each relay in a row that the VM leaves for this reason. When no relay is current, moving helps nobody, and each move costs the next
/// relay a full state.
constexpr std::chrono::milliseconds maximumNotCurrentTimeout{16000};
/// How long the relay's configuration may be newer than the VM's before the VM reconnects. A relay sends a configuration before it reports its
/// version, and a VM applies it within milliseconds. The limit is half of the time that the platform allows for a configuration to come into
/// force.
constexpr std::chrono::milliseconds configurationTimeout{1000};
/// Each message from a relay contains its status. When the last status is older than this, the connection counts as lost.
constexpr std::chrono::milliseconds statusMaximumAge{500};
/// Both sides send a message at least every 150 ms, so on a working connection the last confirmed message was sent at most 300 ms ago.
constexpr std::chrono::milliseconds confirmationMaximumAge{500};

constexpr std::uint64_t randomSteps = 1000;

std::chrono::milliseconds doubled(std::chrono::milliseconds initial, int failures, std::chrono::milliseconds maximum)
{
    return std::min(initial * (1 << std::min(failures, maximumDoublings)), maximum);
}

} // namespace

RelayUplink::RelayUplink(Options options, Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , choice(this->options.failureDomain, this->options.seeds)
{
    this->thread = std::thread([this] { this->keepConnected(); });
}

RelayUplink::~RelayUplink()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        if (this->link != nullptr) {
            this->link->cancel();
        }
        this->stopped.notify_all();
    }
    this->thread.join();
}

std::uint64_t RelayUplink::send(const RelayMessages::Update &update)
{
    return this->outgoing.add(update);
}

double RelayUplink::visibleShare() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool isConfirmedLately = this->statusReceivedAt && this->confirmedSentAt && this->hooks.clock() - *this->confirmedSentAt < confirmationMaximumAge;
    return isConfirmedLately ? this->reportedShare() : 1.0 / std::max<std::uint32_t>(1, this->status.known_vms());
}

double RelayUplink::reportedShare() const
{
    const double known = std::max<std::uint32_t>(1, this->status.known_vms());
    return std::clamp(this->status.visible_vms() / known, 1 / known, 1.0);
}

double RelayUplink::ownShare() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return 1.0 / std::max<std::uint32_t>(1, this->status.known_vms());
}

std::optional<std::chrono::milliseconds> RelayUplink::knowledgeAge() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->confirmedSentAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->hooks.clock() - *this->confirmedSentAt);
}

bool RelayUplink::isCurrent() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->statusReceivedAt && this->hooks.clock() - *this->statusReceivedAt < statusMaximumAge && this->status.current();
}

bool RelayUplink::hasLatestConfiguration() const
{
    const std::uint64_t own = this->hooks.configurationVersion();
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->statusReceivedAt && this->hooks.clock() - *this->statusReceivedAt < statusMaximumAge && this->status.current()
        && this->status.configuration_version() <= own;
}

void RelayUplink::keepConnected()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        const std::string address = this->choice.next(this->hooks.clock(), this->hooks.random);
        const SteadyTime refusedUntil = this->choice.refusedUntil(address);
        if (refusedUntil > this->hooks.clock()) {
            this->stopped.wait_for(lock, refusedUntil - this->hooks.clock(), [this] { return this->stopping; });
            continue;
        }
        if (!address.empty()) {
            RelayExchange::Hooks exchangeHooks;
            exchangeHooks.receive = [this](const RelayMessages::Update &update) { this->receive(update); };
            exchangeHooks.beforeSend = [this](RelayMessages::Update &update) { this->recordSent(update.sequence()); };
            exchangeHooks.batchDelay = [this] { return this->batchDelay(); };
            this->link = std::make_unique<RelayLink>(this->linkOptions(address), std::move(exchangeHooks));
            this->connectedTo = address;
            this->refusal.reset();
            this->notCurrentSince.reset();
            this->configurationBehindSince.reset();
            // The greeting has sequence 0, so the relay's first message confirms it.
            this->sent = {{0, this->hooks.clock()}};
            this->visibleUntil.reset();
            lock.unlock();
            const bool hasReceived = this->link->run(this->greeting(), this->outgoing);
            lock.lock();
            this->recordEnd(address, hasReceived);
        }
        this->stopped.wait_for(lock, this->reconnectDelay(), [this] { return this->stopping; });
    }
}

RelayLink::Options RelayUplink::linkOptions(const std::string &address) const
{
    RelayLink::Options options;
    options.address = address;
    options.fleetSecret = this->options.fleetSecret;
    options.timing = this->options.timing;
    options.compresses = !this->choice.isLocal(address);
    options.connectTimeout = doubled(options.connectTimeout, this->failedConnections, maximumConnectTimeout);
    return options;
}

UpdateBuffer::BatchDelay RelayUplink::batchDelay() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::chrono::milliseconds extra(static_cast<std::int64_t>(this->status.known_vms() / vmsPerMillisecond));
    return {minimumBatchDelay + std::min(extra, maximumExtraDelay) / 2, minimumBatchDelay + std::min(extra, maximumExtraDelay)};
}

void RelayUplink::recordEnd(const std::string &address, bool hasReceived)
{
    if (this->refusal) {
        LOG(INFO) << "Relay " << address << " refuses the connection, since too many VMs connect at once; trying it again after " << this->refusal->count()
                  << " ms";
        this->choice.recordRefusal(address, *this->refusal, this->hooks.clock());
        return;
    }
    LOG(WARNING) << (hasReceived ? "The connection to relay " : "No stream could be established to relay ") << address << (hasReceived ? " has ended" : "");
    this->failedConnections = hasReceived ? 0 : this->failedConnections + 1;
    this->choice.recordFailure(address, this->hooks.clock());
    // Until the next status arrives, this VM doesn't receive the admissions of other VMs.
    this->statusReceivedAt.reset();
}

std::chrono::milliseconds RelayUplink::reconnectDelay() const
{
    const std::chrono::milliseconds delay = doubled(initialReconnectDelay, this->failedConnections, maximumReconnectDelay);
    // Between half and all of it, so that VMs that were disconnected together don't come back together.
    return delay / 2 + std::chrono::milliseconds(this->hooks.random() % static_cast<std::uint64_t>(delay.count() / 2 + 1));
}

RelayMessages::Update RelayUplink::greeting()
{
    this->outgoing.clearOutcomesAndUses();
    RelayMessages::Update first = this->hooks.makeGreeting([this] { this->outgoing.clearTeams(); });
    std::lock_guard<std::mutex> lock(this->mutex);
    first.mutable_greeting()->set_known_vms(this->status.known_vms());
    return first;
}

void RelayUplink::receive(const RelayMessages::Update &update)
{
    SteadyTime visibleFrom;
    SteadyTime visibleTo;
    double share = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (update.retry_after_milliseconds() > 0) {
            this->refusal = std::chrono::milliseconds(update.retry_after_milliseconds());
            return;
        }
        for (const RelayMessages::RelayAddress &address : update.relays()) {
            this->choice.addOrUpdate(address);
        }
        this->applyConfirmation(update.confirmed());
        if (update.has_status()) {
            this->applyStatus(update.status());
        }
        // The first message contains the full state as of now. Each later one completes the updates up to the time when the message that it confirms
        // was sent.
        visibleFrom = this->visibleUntil.value_or(this->hooks.clock());
        visibleTo = std::max(visibleFrom, this->confirmedSentAt.value_or(visibleFrom));
        this->visibleUntil = visibleTo;
        share = this->reportedShare();
    }
    this->hooks.recordVisibleShare(visibleFrom, visibleTo, share);
    this->hooks.confirmed(update.confirmed());
    this->hooks.receive(update);
}

void RelayUplink::recordSent(std::uint64_t sequence)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->sent.push_back({sequence, this->hooks.clock()});
}

void RelayUplink::applyConfirmation(std::uint64_t confirmed)
{
    while (!this->sent.empty() && this->sent.front().sequence <= confirmed) {
        this->confirmedSentAt = this->sent.front().at;
        this->sent.pop_front();
    }
}

void RelayUplink::applyStatus(const RelayMessages::RelayStatus &newStatus)
{
    const SteadyTime now = this->hooks.clock();
    if (newStatus.current() != this->status.current() || !this->statusReceivedAt) {
        LOG(INFO) << "Relay " << this->connectedTo << (newStatus.current() ? " is current" : " isn't current") << "; it receives updates of "
                  << newStatus.visible_vms() << " of " << newStatus.known_vms() << " VMs";
    }
    this->status = newStatus;
    this->statusReceivedAt = now;
    this->reconnectIfBehind(now);
    if (newStatus.current()) {
        this->notCurrentSince.reset();
        this->movesFromNotCurrent = 0;
        this->choice.recordSuccess(this->connectedTo);
        this->switchToLocalRelay(now);
        return;
    }
    if (!this->notCurrentSince) {
        this->notCurrentSince = now;
        // Spreads the moves of VMs whose relays cease to be current at the same time.
        this->moveDelayFactor = 1 + static_cast<double>(this->hooks.random() % randomSteps) / randomSteps;
    }
    this->switchRelayIfNotCurrent(now);
}

void RelayUplink::switchToLocalRelay(SteadyTime now)
{
    if (this->choice.shouldSwitchToLocalRelay(this->connectedTo, now)) {
        LOG(INFO) << "Switching from relay " << this->connectedTo << " to a relay of this failure domain";
        this->link->cancel();
    }
}

void RelayUplink::reconnectIfBehind(SteadyTime now)
{
    const std::uint64_t own = this->hooks.configurationVersion();
    if (this->status.configuration_version() <= own) {
        this->configurationBehindSince.reset();
        return;
    }
    if (!this->configurationBehindSince) {
        this->configurationBehindSince = now;
    }
    if (now - *this->configurationBehindSince >= configurationTimeout) {
        LOG(WARNING) << "Relay " << this->connectedTo << " has configuration " << this->status.configuration_version() << " and this VM still has " << own
                     << "; reconnecting";
        this->link->cancel();
    }
}

void RelayUplink::switchRelayIfNotCurrent(SteadyTime now)
{
    const std::chrono::milliseconds timeout
        = doubled(this->hooks.isConfigured() ? notCurrentTimeout : unconfiguredTimeout, this->movesFromNotCurrent, maximumNotCurrentTimeout);
    if (now - *this->notCurrentSince >= timeout * this->moveDelayFactor && this->choice.hasAlternative(this->connectedTo, now)) {
        ++this->movesFromNotCurrent;
        this->choice.avoid(this->connectedTo, notCurrentBackoff, now);
        this->link->cancel();
    }
}

} // namespace Hyssophall
