#include "process/relay/relayuplink.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace Hyssophall {

namespace {

/// Updates are collected for longer in a larger fleet, whose relays get messages of more VMs.
constexpr std::chrono::milliseconds minimumBatchDelay{4};
constexpr std::chrono::milliseconds maximumExtraDelay{30};
constexpr std::uint32_t vmsPerMillisecond = 15;
/// Each message from a relay contains its status. When the last status is older than this, the connection counts as lost.
constexpr std::chrono::milliseconds statusMaximumAge{500};
/// Both sides send a message at least every 150 ms, so on a working connection the last confirmed message was sent at most 300 ms ago.
constexpr std::chrono::milliseconds confirmationMaximumAge{500};
/// Messages that a majority of the relays may lack and that are remembered: those of a window, about. While no majority is reached, there may be many.
constexpr std::size_t maximumUnreplicated = 256;

} // namespace

RelayUplink::RelayUplink(Options options, Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , moves(this->options.failureDomain, this->options.seeds, this->hooks.random)
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
    return this->isConfirmedLately() ? this->reportedShare() : 1.0 / std::max<std::uint32_t>(1, this->status.known_vms());
}

bool RelayUplink::receivesUpdates() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->isConfirmedLately();
}

bool RelayUplink::isConfirmedLately() const
{
    return this->statusReceivedAt && this->confirmedSentAt && this->hooks.clock() - *this->confirmedSentAt < confirmationMaximumAge;
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

std::uint64_t RelayUplink::moveCount(RelayMoves::Reason reason) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->moves.count(reason);
}

void RelayUplink::keepConnected()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        const std::string address = this->moves.next(this->hooks.clock());
        const SteadyTime refusedUntil = this->moves.refusedUntil(address);
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
            this->moves.beginConnection(address, this->hooks.clock());
            // The greeting has sequence 0, so the relay's first message confirms it.
            this->sent = {{0, this->hooks.clock()}};
            this->unreplicated = this->sent;
            this->reportsReplicated = false;
            this->visibleUntil.reset();
            lock.unlock();
            const bool hasReceived = this->link->run(this->greeting(), this->outgoing);
            lock.lock();
            this->recordEnd(address, hasReceived);
        }
        this->stopped.wait_for(lock, this->moves.reconnectDelay(), [this] { return this->stopping; });
    }
}

RelayLink::Options RelayUplink::linkOptions(const std::string &address) const
{
    RelayLink::Options options;
    options.address = address;
    options.fleetSecret = this->options.fleetSecret;
    options.timing = this->options.timing;
    options.compresses = !this->moves.isLocal(address);
    options.connectTimeout = this->moves.connectTimeout(options.connectTimeout);
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
        this->moves.recordRefusal(*this->refusal, this->hooks.clock());
        return;
    }
    switch (this->moves.recordEnd(hasReceived, this->hooks.clock())) {
    case RelayMoves::Reason::NotCurrent:
        LOG(WARNING) << "Left relay " << address << ", which isn't current, since another one may be";
        break;
    case RelayMoves::Reason::LocalRelay:
        LOG(INFO) << "Left relay " << address << " for a relay of this failure domain";
        break;
    case RelayMoves::Reason::ConfigurationBehind:
        LOG(WARNING) << "Left relay " << address << " to get its configuration " << this->status.configuration_version();
        break;
    case RelayMoves::Reason::NotConnected:
        LOG(WARNING) << "No stream could be established to relay " << address;
        break;
    case RelayMoves::Reason::ConnectionEnded:
    case RelayMoves::Reason::Refused:
        LOG(WARNING) << "The connection to relay " << address << " has ended";
        break;
    }
    // Until the next status arrives, this VM doesn't receive the admissions of other VMs.
    this->statusReceivedAt.reset();
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
    std::optional<SentMessage> replicated;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (update.retry_after_milliseconds() > 0) {
            this->refusal = std::chrono::milliseconds(update.retry_after_milliseconds());
            return;
        }
        for (const RelayMessages::RelayAddress &address : update.relays()) {
            this->moves.update(address);
        }
        this->applyConfirmation(update.confirmed());
        if (update.has_status()) {
            this->applyStatus(update);
        }
        // The first message contains the full state as of now. Each later one completes the updates up to the time when the message that it confirms
        // was sent.
        visibleFrom = this->visibleUntil.value_or(this->hooks.clock());
        visibleTo = std::max(visibleFrom, this->confirmedSentAt.value_or(visibleFrom));
        this->visibleUntil = visibleTo;
        share = this->reportedShare();
        replicated = this->applyReplicated(update);
    }
    this->hooks.recordVisibleShare(visibleFrom, visibleTo, share);
    if (update.status().lost_age_milliseconds() > 0 && this->hooks.limitVisibleShare) {
        // The age refers to the time when the relay sent the message, which is no earlier than that of the message it confirms.
        this->hooks.limitVisibleShare(visibleTo - std::chrono::milliseconds(update.status().lost_age_milliseconds()), share);
    }
    this->hooks.confirmed(update.confirmed());
    if (replicated && this->hooks.replicated) {
        this->hooks.replicated(replicated->sequence, replicated->at);
    }
    this->hooks.receive(update);
}

void RelayUplink::recordSent(std::uint64_t sequence)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->sent.push_back({sequence, this->hooks.clock()});
    this->unreplicated.push_back(this->sent.back());
    if (this->unreplicated.size() > maximumUnreplicated) {
        this->unreplicated.pop_front();
    }
}

void RelayUplink::applyConfirmation(std::uint64_t confirmed)
{
    while (!this->sent.empty() && this->sent.front().sequence <= confirmed) {
        this->confirmedSentAt = this->sent.front().at;
        this->sent.pop_front();
    }
}

std::optional<RelayUplink::SentMessage> RelayUplink::applyReplicated(const RelayMessages::Update &update)
{
    this->reportsReplicated = this->reportsReplicated || this->status.reports_replicated();
    // An older relay doesn't report it, so its confirmation must do.
    const std::uint64_t end = this->reportsReplicated ? update.replicated() : update.confirmed() + 1;
    std::optional<SentMessage> latest;
    while (!this->unreplicated.empty() && this->unreplicated.front().sequence < end) {
        latest = this->unreplicated.front();
        this->unreplicated.pop_front();
    }
    return latest;
}

void RelayUplink::applyStatus(const RelayMessages::Update &update)
{
    const RelayMessages::RelayStatus &newStatus = update.status();
    const SteadyTime now = this->hooks.clock();
    if (newStatus.current() != this->status.current() || !this->statusReceivedAt) {
        LOG(INFO) << "Relay " << this->connectedTo << (newStatus.current() ? " is current" : " isn't current") << "; it receives updates of "
                  << newStatus.visible_vms() << " of " << newStatus.known_vms() << " VMs";
    }
    this->status = newStatus;
    this->statusReceivedAt = now;
    RelayMoves::Configuration own;
    own.isLoaded = this->hooks.isConfigured();
    // The configuration of this message comes into force after its status.
    own.version = std::max(this->hooks.configurationVersion(), update.configuration().version());
    const std::optional<RelayMoves::Reason> reason = this->moves.applyStatus(newStatus, own, now);
    if (reason == RelayMoves::Reason::ConfigurationBehind) {
        LOG(WARNING) << "Relay " << this->connectedTo << " has configuration " << newStatus.configuration_version() << " and this VM still has " << own.version
                     << "; reconnecting";
    }
    if (reason) {
        this->link->cancel();
    }
}

} // namespace Hyssophall
