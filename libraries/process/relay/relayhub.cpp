#include "process/relay/relayhub.h"

#include "process/relay/admissionmessages.h"

#include <algorithm>
#include <functional>
#include <glog/logging.h>
#include <utility>

namespace Hyssophall {

namespace {

/// A VM that hasn't been connected to any relay for this long no longer counts as part of the fleet. This is longer than a restart takes.
constexpr std::chrono::seconds vmExpiry{20};

/// Messages per second that a relay sends to its VMs at most while there are updates all the time: a message takes about 60 us of processor time.
constexpr double messagesPerSecond = 1200;
/// Updates within a failure domain are collected for this long at least.
constexpr std::chrono::milliseconds minimumBatchDelay{4};
/// Counts may be held back for this multiple of the time for urgent updates. They are several times as many, and are summed meanwhile.
constexpr double countsDelayFactor = 3;
/// The same for a VM of another failure domain, where each byte costs, and the least time for it.
constexpr double remoteDelayFactor = 2;
constexpr double remoteOutcomesDelayFactor = 10;
constexpr std::chrono::milliseconds minimumRemoteDelay{10};
/// Updates to another relay are collected for this part of the time for a VM, since that relay collects them again.
constexpr double peerDelayFactor = 0.4;
constexpr std::chrono::milliseconds minimumRemoteCountsDelay{150};
/// From an admission until the message that reports it arrives, at most.
constexpr std::chrono::milliseconds longestReportDelay{200};
/// Messages of one VM for which the relay remembers whether a majority has them: those of a window, about.
constexpr std::size_t maximumUnreplicated = 256;
/// A loss of VMs is reported for this long, so that each VM hears of it.
constexpr std::chrono::milliseconds lossReportTime{1000};

/// The configuration without the document that the operators sent, which contains keys in clear text.
CatalogueMessages::Configuration withoutDocument(const CatalogueMessages::Configuration &configuration)
{
    CatalogueMessages::Configuration reduced = configuration;
    reduced.clear_document();
    return reduced;
}

RelayMessages::VmPresence presenceOf(const RelayMessages::Greeting &greeting)
{
    RelayMessages::VmPresence presence;
    presence.set_vm(greeting.vm());
    presence.set_present(true);
    presence.set_failure_domain(greeting.failure_domain());
    presence.set_forwarding_host(greeting.forwarding_host());
    presence.set_forwarding_port(greeting.forwarding_port());
    presence.set_partitioned_from_instances(greeting.partitioned_from_instances());
    return presence;
}

} // namespace

RelayHub::RelayHub(Options options, Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , startedAt(this->options.clock())
    , board(this->options.board)
    , configuration(std::make_shared<const CatalogueMessages::Configuration>())
    , vms(vmExpiry)
    , vmLists(this->vms, this->options.board.random)
    , teamUse(this->options.rateWindow, this->startedAt)
    , reported(this->options.rateWindow)
    , lastReport{0, this->startedAt}
{
}

void RelayHub::setConfiguration(const std::shared_ptr<const CatalogueMessages::Configuration> &newConfiguration)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (newConfiguration->version() <= this->configuration->version()) {
        return;
    }
    this->configuration = std::make_shared<const CatalogueMessages::Configuration>(withoutDocument(*newConfiguration));
    RelayMessages::Update update;
    *update.mutable_configuration() = *this->configuration;
    // Other relays get it through the control log.
    this->sendToVms(update, nullptr);
}

void RelayHub::expectVms(std::uint32_t vms)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->expectedVms = std::max(this->expectedVms, vms);
}

bool RelayHub::publish(const RelayMessages::Registration &registration, bool needsMajority, SteadyTime deadline)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    RelayMessages::Update update;
    *update.add_registrations() = registration;
    const RelayMessages::Registration *previous = this->board.table().find(registration.id());
    const bool isRenewal = previous != nullptr && previous->state() == registration.state()
        && previous->started_at_milliseconds() == registration.started_at_milliseconds() && previous->host() == registration.host()
        && previous->port() == registration.port() && previous->slots() == registration.slots();
    RelayMessages::Update changed = this->merge(update, nullptr);
    if (isRenewal) {
        // A renewal changes nothing for the receivers, and each instance sends one every second or two.
        changed.clear_registrations();
    }
    this->sendToVms(changed, nullptr);
    if (needsMajority) {
        // Sent again though it is known here, since the relay that received it first may not have reached a majority.
        const RelayMessages::Registration *known = this->board.table().find(registration.id());
        if (known != nullptr && changed.registrations().empty()) {
            *changed.add_registrations() = *known;
        }
    }
    DepartureWaiter waiter;
    waiter.departure = this->lastDeparture;
    for (const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry : this->peers) {
        waiter.sequences[entry.first] = entry.second->buffer.nextSequence();
    }
    this->sendToPeers(changed);
    if (!needsMajority || this->hasMajority(waiter)) {
        return true;
    }
    const std::list<DepartureWaiter *>::iterator position = this->waiters.insert(this->waiters.end(), &waiter);
    waiter.confirmed.wait_until(lock, deadline, [&waiter] { return waiter.isConfirmed; });
    this->waiters.erase(position);
    return waiter.isConfirmed;
}

bool RelayHub::hasMajority(const DepartureWaiter &waiter) const
{
    const std::ptrdiff_t others = std::count_if(waiter.sequences.begin(),
        waiter.sequences.end(),
        [this](const std::pair<const std::string, std::uint64_t> &entry) { return this->peers.at(entry.first)->confirmed >= entry.second; });
    return static_cast<std::size_t>(others) + (this->isStored(waiter.departure) ? 1 : 0) >= this->options.majority;
}

void RelayHub::wakeConfirmedWaiters()
{
    for (DepartureWaiter *waiter : this->waiters) {
        if (!waiter->isConfirmed && this->hasMajority(*waiter)) {
            waiter->isConfirmed = true;
            waiter->confirmed.notify_one();
        }
    }
}

void RelayHub::restore(const std::vector<RelayMessages::Registration> &registrations)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    RelayMessages::Update changed;
    for (const RelayMessages::Registration &registration : registrations) {
        for (const RelayMessages::Registration &each : this->board.apply(registration)) {
            *changed.add_registrations() = each;
        }
    }
    this->sendToVms(changed, nullptr);
    this->sendToPeers(changed);
}

void RelayHub::departuresStored()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
            bool isChanged = false;
            while (!subscriber->unconfirmed.empty() && this->isStored(subscriber->unconfirmed.front().departure)) {
                subscriber->confirmed = subscriber->unconfirmed.front().sequence;
                subscriber->unconfirmed.pop_front();
                isChanged = true;
            }
            if (isChanged) {
                subscriber->buffer.wake();
            }
        }
        this->wakeConfirmedWaiters();
    }
}

bool RelayHub::isStored(std::uint64_t departure) const
{
    return this->options.departures == nullptr || this->options.departures->stored() >= departure;
}

void RelayHub::confirm(RelaySubscriber &subscriber, std::uint64_t sequence)
{
    // A VM waits for the confirmation of its admissions, which aren't stored.
    if (subscriber.isRelay() && (!subscriber.unconfirmed.empty() || !this->isStored(this->lastDeparture))) {
        subscriber.unconfirmed.push_back({sequence, this->lastDeparture});
        return;
    }
    subscriber.confirmed = sequence;
}

void RelayHub::addRelay(const RelayMessages::RelayAddress &address)
{
    std::shared_ptr<RelayPeer> added;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (address.address().empty() || address.address() == this->options.own.address()) {
            return;
        }
        std::shared_ptr<RelayPeer> &peer = this->peers[address.address()];
        if (peer == nullptr) {
            peer = std::make_shared<RelayPeer>(address.address());
            peer->known = this->lastReport;
            added = peer;
        } else if (address.failure_domain().empty() || address.failure_domain() == peer->failureDomain) {
            return;
        }
        // The failure domain of a seed is unknown until its greeting arrives.
        peer->failureDomain = address.failure_domain();
        RelayMessages::Update update;
        *update.add_relays() = peer->relayAddress();
        this->sendToVms(update, nullptr);
        for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
            if (subscriber->isRelay()) {
                subscriber->buffer.add(update);
            }
        }
    }
    if (added != nullptr) {
        LOG(INFO) << "Relay " << address.address() << " is added";
        this->hooks.peerFound(added);
    }
}

std::vector<RelayMessages::RelayAddress> RelayHub::relays() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<RelayMessages::RelayAddress> all{this->options.own};
    for (const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry : this->peers) {
        all.push_back(entry.second->relayAddress());
    }
    return all;
}

std::shared_ptr<RelaySubscriber> RelayHub::connect(const RelayMessages::Update &first)
{
    const std::shared_ptr<RelaySubscriber> subscriber = std::make_shared<RelaySubscriber>();
    subscriber->greeting = first.greeting();
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        subscriber->receivedAt = this->options.clock();
        this->subscribers.push_back(subscriber);
        this->expectedVms = std::max(this->expectedVms, first.greeting().known_vms());
        this->teamUse.fillGaps(first, this->options.clock());
        RelayMessages::Update initial = this->fullState();
        if (subscriber->isRelay()) {
            initial.clear_summaries();
            const auto peer = this->peers.find(subscriber->greeting.relay_address());
            this->vms.setVisible(subscriber.get(), peer != this->peers.end() && peer->second->isConnected, this->options.clock());
        } else {
            ++this->vmSubscribers;
            ++this->activity.vmsConnected;
            subscriber->presence = presenceOf(subscriber->greeting);
            this->recordVm(*subscriber);
            this->vmLists.add({subscriber->greeting.vm(), subscriber->greeting.failure_domain(), &subscriber->buffer}, initial, this->options.clock());
            if (this->configuration->version() > subscriber->greeting.configuration_version()) {
                *initial.mutable_configuration() = *this->configuration;
            }
        }
        subscriber->buffer.add(initial);
    }
    LOG(INFO) << (subscriber->isRelay() ? "Relay " : "VM ") << subscriber->greeting.vm() << " of failure domain " << subscriber->greeting.failure_domain()
              << " connected with configuration " << subscriber->greeting.configuration_version();
    if (subscriber->isRelay()) {
        RelayMessages::RelayAddress address;
        address.set_address(subscriber->greeting.relay_address());
        address.set_failure_domain(subscriber->greeting.failure_domain());
        this->addRelay(address);
    }
    this->receive(*subscriber, first);
    return subscriber;
}

void RelayHub::receive(RelaySubscriber &subscriber, const RelayMessages::Update &update)
{
    const SteadyTime arrivedAt = this->options.clock();
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->activity.messagesReceived;
        this->activity.longestWait
            = std::max(this->activity.longestWait, std::chrono::duration_cast<std::chrono::milliseconds>(this->options.clock() - arrivedAt));
        subscriber.receivedAt = this->options.clock();
        this->sendLateEnds();
        const RelayMessages::Update &changed = this->merge(update, &subscriber);
        this->sendToVms(changed, &subscriber);
        if (!subscriber.isRelay()) {
            this->lastReport = {this->lastReport.number + 1, subscriber.receivedAt};
            this->reported.add(subscriber.greeting.vm(), update, this->lastReport);
            subscriber.unreplicated.push_back({update.sequence(), this->lastReport.number});
            if (subscriber.unreplicated.size() > maximumUnreplicated) {
                // A later message that a majority has says the same of this one.
                subscriber.unreplicated.pop_front();
            }
            this->sendToPeers(changed, this->lastReport);
            if (this->options.majority <= 1) {
                this->replicatedReport = this->lastReport.number;
            }
        }
        this->applyPresence(subscriber, update);
        this->confirm(subscriber, update.sequence());
    }
    if (!update.registrations().empty() || (!update.teams().empty() && !subscriber.isRelay())) {
        // The sender may be waiting for the confirmation of a registration or an admission, so it is sent at once.
        subscriber.buffer.wake();
    }
    for (const RelayMessages::RelayAddress &address : update.relays()) {
        this->addRelay(address);
    }
}

void RelayHub::addStatus(RelaySubscriber &subscriber, RelayMessages::Update &update)
{
    update.set_confirmed(subscriber.confirmed);
    *update.mutable_status() = this->status();
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->activity.messagesSent;
    if (!subscriber.isRelay()) {
        update.mutable_status()->set_reports_replicated(!subscriber.isToldOfReplication);
        subscriber.isToldOfReplication = true;
        while (!subscriber.unreplicated.empty() && subscriber.unreplicated.front().mark <= this->replicatedReport) {
            update.set_replicated(subscriber.unreplicated.front().sequence + 1);
            subscriber.unreplicated.pop_front();
        }
        this->vmLists.redrawIfDue(subscriber.buffer, update, this->options.clock());
    }
}

bool RelayHub::isOtherFailureDomain(const RelayMessages::Greeting &greeting) const
{
    return greeting.failure_domain() != this->options.own.failure_domain();
}

UpdateBuffer::BatchDelay RelayHub::batchDelay(const RelaySubscriber &subscriber) const
{
    const std::chrono::duration<double> turn(static_cast<double>(this->vmSubscribers) / messagesPerSecond);
    const auto atLeast = [turn](std::chrono::milliseconds minimum, double factor) {
        return std::max(minimum, std::chrono::duration_cast<std::chrono::milliseconds>(turn * factor));
    };
    UpdateBuffer::BatchDelay delay;
    if (!this->isOtherFailureDomain(subscriber.greeting)) {
        delay.urgent = atLeast(minimumBatchDelay, 1);
        delay.other = atLeast(minimumBatchDelay, countsDelayFactor);
        delay.outcomes = delay.other;
    } else {
        delay.urgent = atLeast(minimumRemoteDelay, remoteDelayFactor);
        delay.other = atLeast(minimumRemoteCountsDelay, remoteDelayFactor * countsDelayFactor);
        delay.outcomes = atLeast(minimumRemoteCountsDelay, remoteDelayFactor * remoteOutcomesDelayFactor);
    }
    return delay;
}

UpdateBuffer::BatchDelay RelayHub::peerBatchDelay() const
{
    const std::chrono::duration<double> turn(static_cast<double>(this->vmSubscribers) * peerDelayFactor / messagesPerSecond);
    UpdateBuffer::BatchDelay delay;
    delay.urgent = std::max(minimumRemoteDelay, std::chrono::duration_cast<std::chrono::milliseconds>(turn));
    delay.other = minimumRemoteCountsDelay;
    return delay;
}

void RelayHub::disconnect(const std::shared_ptr<RelaySubscriber> &subscriber)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const std::uint32_t visibleBefore = this->vms.visibleCount();
        std::erase(this->subscribers, subscriber);
        this->vmLists.remove(subscriber->buffer);
        // A VM that lost this connection may have opened another one already.
        const bool hasReconnected = std::any_of(this->subscribers.begin(),
            this->subscribers.end(),
            [&subscriber](const std::shared_ptr<RelaySubscriber> &other) { return other->greeting.vm() == subscriber->greeting.vm(); });
        if (subscriber->isRelay()) {
            this->vms.removeSource(subscriber.get(), this->options.clock());
        } else {
            --this->vmSubscribers;
            this->vms.remove(subscriber.get(), subscriber->greeting.vm(), this->options.clock());
            if (!hasReconnected) {
                subscriber->presence.set_present(false);
                this->recordVm(*subscriber);
            }
            this->lateEnds.endStream(subscriber.get());
            this->teamUse.setReportedUntil(subscriber->greeting.vm(), subscriber->receivedAt - longestReportDelay);
        }
        this->recordLoss(visibleBefore, subscriber->receivedAt);
    }
    LOG(INFO) << (subscriber->isRelay() ? "Relay " : "VM ") << subscriber->greeting.vm() << " disconnected";
}

RelayMessages::Update RelayHub::peerGreeting(RelayPeer &peer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    // The greeting contains the full state, so the queued updates are obsolete.
    peer.buffer.clear();
    RelayMessages::Update first = this->fullState();
    first.clear_summaries();
    first.mutable_greeting()->set_vm(this->options.own.address());
    first.mutable_greeting()->set_relay_address(this->options.own.address());
    first.mutable_greeting()->set_failure_domain(this->options.own.failure_domain());
    first.mutable_greeting()->set_configuration_version(this->configuration->version());
    first.mutable_greeting()->set_known_vms(this->knownVms(this->options.clock()));
    for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
        if (!subscriber->isRelay()) {
            *first.add_vms() = subscriber->presence;
        }
    }
    const SteadyTime now = this->options.clock();
    // Shows the receiver from when on it is told what it lacks, even if this relay has no VMs.
    UnreportedAdmissions own;
    own.vm = this->options.own.address();
    own.fromAge = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<SteadyTime::duration>(now - peer.known.at, this->options.rateWindow));
    own.hasLeft = true;
    *first.add_unreported() = encodeUnreported(own);
    for (const UnreportedAdmissions &unreported : this->reported.after(peer.known, this->connectedVms(), now)) {
        *first.add_unreported() = encodeUnreported(unreported);
    }
    return first;
}

void RelayHub::receiveFromPeer(RelayPeer &peer, const RelayMessages::Update &update)
{
    bool isNew = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        isNew = !peer.isConnected;
        peer.isConnected = true;
        const bool wasNotCurrent = peer.isNotCurrent;
        if (update.has_status()) {
            peer.isNotCurrent = !update.status().current();
        }
        if (isNew) {
            this->setReportsVisible(peer);
        }
        if (isNew || peer.isNotCurrent != wasNotCurrent) {
            this->sendRelayState(peer);
        }
        if (update.confirmed() > peer.confirmed) {
            peer.confirmed = update.confirmed();
            this->wakeConfirmedWaiters();
            const ReportMark known = peer.buffer.reportedUpTo(peer.confirmed);
            if (known.number > peer.known.number) {
                peer.known = known;
                this->updateReplicated();
            }
        }
        RelayMessages::Update registrations;
        *registrations.mutable_registrations() = update.registrations();
        this->sendToVms(this->merge(registrations, nullptr), nullptr);
    }
    if (isNew) {
        LOG(INFO) << "Relay " << peer.address << " is connected";
    }
    for (const RelayMessages::RelayAddress &address : update.relays()) {
        this->addRelay(address);
    }
}

void RelayHub::peerDisconnected(RelayPeer &peer)
{
    bool wasConnected = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        wasConnected = peer.isConnected;
        peer.isConnected = false;
        peer.isNotCurrent = false;
        if (wasConnected) {
            this->setReportsVisible(peer);
            this->sendRelayState(peer);
        }
    }
    if (wasConnected) {
        LOG(WARNING) << "Relay " << peer.address << " is disconnected";
    }
}

RelayMessages::RelayStatus RelayHub::status()
{
    const bool isReplicaUpToDate = this->hooks.isControlReplicaUpToDate();
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->options.clock();
    this->recordVisibleShare(now);
    const std::ptrdiff_t connected = std::count_if(this->peers.begin(),
        this->peers.end(),
        [](const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry) { return entry.second->isConnected; });
    RelayMessages::RelayStatus status;
    status.set_current(isReplicaUpToDate && static_cast<std::size_t>(connected) + 1 >= this->options.majority);
    status.set_visible_vms(this->vms.visibleCount());
    status.set_known_vms(this->knownVms(now));
    status.set_configuration_version(this->configuration->version());
    if (this->lostAt && now - *this->lostAt < lossReportTime) {
        status.set_lost_age_milliseconds(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - this->lostSince).count()));
    }
    return status;
}

void RelayHub::announceCurrent()
{
    const bool isCurrent = this->status().current();
    std::lock_guard<std::mutex> lock(this->mutex);
    if (isCurrent && !this->isAnnouncedCurrent) {
        for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
            if (!subscriber->isRelay()) {
                subscriber->buffer.wake();
            }
        }
    }
    this->isAnnouncedCurrent = isCurrent;
}

std::uint32_t RelayHub::knownVms(SteadyTime now)
{
    const std::uint32_t seen = this->vms.knownCount(now);
    return now - this->startedAt < vmExpiry ? std::max(seen, this->expectedVms) : seen;
}

void RelayHub::recordVisibleShare(SteadyTime now)
{
    const double known = std::max<std::uint32_t>(1, this->knownVms(now));
    const double share = std::min(1.0, this->vms.visibleCount() / known);
    this->teamUse.recordVisibleShare(share, now);
    this->board.setVisibleShare(share);
}

void RelayHub::setReportsVisible(const RelayPeer &peer)
{
    for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
        if (subscriber->isRelay() && subscriber->greeting.relay_address() == peer.address) {
            const std::uint32_t visibleBefore = this->vms.visibleCount();
            this->vms.setVisible(subscriber.get(), peer.isConnected, this->options.clock());
            this->recordLoss(visibleBefore, subscriber->receivedAt);
        }
    }
}

void RelayHub::recordLoss(std::uint32_t before, SteadyTime since)
{
    if (this->vms.visibleCount() >= before) {
        return;
    }
    const SteadyTime now = this->options.clock();
    const bool isFurtherLoss = this->lostAt && now - *this->lostAt < lossReportTime;
    this->lostSince = isFurtherLoss ? std::min(this->lostSince, since) : since;
    this->lostAt = now;
    this->teamUse.limitVisibleShare(this->lostSince, this->vms.visibleCount() / static_cast<double>(std::max<std::uint32_t>(1, this->knownVms(now))));
}

std::set<std::string> RelayHub::connectedVms() const
{
    std::set<std::string> names;
    for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
        if (!subscriber->isRelay()) {
            names.insert(subscriber->greeting.vm());
        }
    }
    return names;
}

void RelayHub::updateReplicated()
{
    if (this->options.majority <= 1) {
        return;
    }
    std::vector<std::uint64_t> known;
    for (const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry : this->peers) {
        known.push_back(entry.second->known.number);
    }
    const std::size_t others = this->options.majority - 1;
    if (known.size() >= others) {
        std::nth_element(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(others - 1), known.end(), std::greater<>());
        this->replicatedReport = known[others - 1];
    }
}

std::size_t RelayHub::connectedVmCount() const
{
    return this->vmSubscribers;
}

std::size_t RelayHub::connectedPeers() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<std::size_t>(std::count_if(this->peers.begin(),
        this->peers.end(),
        [](const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry) { return entry.second->isConnected; }));
}

std::optional<RelayMessages::Registration> RelayHub::findInstance(const std::string &id) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const RelayMessages::Registration *found = this->board.table().find(id);
    return found == nullptr ? std::nullopt : std::optional<RelayMessages::Registration>(*found);
}

const RelayMessages::Update &RelayHub::merge(const RelayMessages::Update &update, const RelaySubscriber *sender)
{
    const SteadyTime now = this->options.clock();
    RelayMessages::Update &changed = this->merged;
    changed.Clear();
    for (const RelayMessages::Registration &registration : update.registrations()) {
        this->applyRegistration(registration, changed);
    }
    *changed.mutable_outcomes() = update.outcomes();
    if (sender != nullptr && !sender->isRelay()) {
        this->lateEnds.mark(sender, *changed.mutable_outcomes(), now);
    }
    for (const RelayMessages::InstanceOutcomes &outcomes : changed.outcomes()) {
        this->board.apply(outcomes, now);
    }
    *changed.mutable_teams() = update.teams();
    this->teamUse.add(update, *this->configuration, now);
    this->mergeUnreported(update, sender, changed);
    *changed.mutable_services() = update.services();
    *changed.mutable_lost_requests() = update.lost_requests();
    *changed.mutable_answered_requests() = update.answered_requests();
    return changed;
}

void RelayHub::sendLateEnds()
{
    const SteadyTime now = this->options.clock();
    for (const LateEnds::Due &due : this->lateEnds.takeDue(now)) {
        for (const RelayMessages::InstanceOutcomes &outcomes : due.update.outcomes()) {
            this->board.apply(outcomes, now);
        }
        this->sendToVms(due.update, static_cast<const RelaySubscriber *>(due.stream));
        this->sendToPeers(due.update);
    }
}

void RelayHub::mergeUnreported(const RelayMessages::Update &update, const RelaySubscriber *sender, RelayMessages::Update &changed)
{
    if (update.unreported().empty()) {
        return;
    }
    const SteadyTime now = this->options.clock();
    const double vmShare = 1.0 / std::max<std::uint32_t>(1, this->knownVms(now));
    // What a relay tells of its VMs when it is back is passed on in sum: the VMs of this relay lack what it lacked itself.
    const bool isSummed = sender != nullptr && sender->isRelay() && update.has_greeting();
    const std::set<std::string> connected = isSummed ? this->connectedVms() : std::set<std::string>();
    UnreportedAdmissions sum;
    sum.vms = 0;
    for (const RelayMessages::UnreportedAdmissions &message : update.unreported()) {
        const UnreportedAdmissions unreported = decodeUnreported(message);
        if (connected.contains(unreported.vm)) {
            // It is connected here, so nothing of it is missing.
            continue;
        }
        const UnreportedAdmissions added = this->teamUse.addUnreported(unreported, vmShare, now);
        if (!isSummed) {
            *changed.add_unreported() = message;
            continue;
        }
        sum.vms += added.hasLeft ? 0 : 1;
        sum.fromAge = std::max(sum.fromAge, added.fromAge);
        for (const std::pair<const std::string, std::vector<AdmissionRecord::Admissions>> &entry : added.admitted) {
            std::vector<AdmissionRecord::Admissions> &all = sum.admitted[entry.first];
            all.insert(all.end(), entry.second.begin(), entry.second.end());
        }
    }
    if (sum.vms > 0 || !sum.admitted.empty()) {
        sum.hasLeft = sum.vms == 0;
        *changed.add_unreported() = encodeUnreported(sum);
    }
}

void RelayHub::applyRegistration(const RelayMessages::Registration &registration, RelayMessages::Update &changed)
{
    const RelayMessages::Registration *known = this->board.table().find(registration.id());
    const bool isRenewal
        = known != nullptr && known->state() == registration.state() && known->started_at_milliseconds() == registration.started_at_milliseconds();
    for (const RelayMessages::Registration &each : this->board.apply(registration)) {
        *changed.add_registrations() = each;
        const bool leaves = each.state() != RelayMessages::REGISTRATION_STATE_READY && !(isRenewal && each.id() == registration.id());
        if (leaves && this->options.departures != nullptr) {
            this->lastDeparture = this->options.departures->add(each);
        }
    }
}

double RelayHub::largestTeamUse()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->teamUse.largestUse(*this->configuration, this->options.clock());
}

RelayHub::Activity RelayHub::takeActivity()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return std::exchange(this->activity, Activity());
}

void RelayHub::sendToVms(const RelayMessages::Update &update, const RelaySubscriber *excluded)
{
    if (update.ByteSizeLong() == 0) {
        return;
    }
    for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
        if (!subscriber->isRelay() && subscriber.get() != excluded) {
            subscriber->buffer.add(update);
        }
    }
}

void RelayHub::sendToPeers(const RelayMessages::Update &update, const std::optional<ReportMark> &mark)
{
    for (const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry : this->peers) {
        if (mark) {
            entry.second->buffer.add(update, *mark);
        } else {
            entry.second->buffer.add(update);
        }
    }
}

void RelayHub::sendRelayState(const RelayPeer &peer)
{
    RelayMessages::Update update;
    *update.add_relays() = peer.relayAddress();
    this->sendToVms(update, nullptr);
}

void RelayHub::recordVm(const RelaySubscriber &subscriber)
{
    if (subscriber.presence.present()) {
        this->vms.set(&subscriber, subscriber.presence, this->options.clock());
    }
    RelayMessages::Update update;
    *update.add_vms() = subscriber.presence;
    this->sendToPeers(update);
    this->vmLists.vmChanged(subscriber.presence.vm());
}

void RelayHub::applyPresence(RelaySubscriber &subscriber, const RelayMessages::Update &update)
{
    for (const RelayMessages::VmPresence &vm : update.vms()) {
        if (!subscriber.isRelay()) {
            subscriber.presence = vm;
            subscriber.presence.set_vm(subscriber.greeting.vm());
            subscriber.presence.set_present(true);
            this->recordVm(subscriber);
            continue;
        }
        if (vm.present()) {
            this->vms.set(&subscriber, vm, this->options.clock());
            this->vmLists.vmChanged(vm.vm());
            continue;
        }
        this->vms.remove(&subscriber, vm.vm(), this->options.clock());
        // A VM that has moved to another relay may be reported by that one before the former relay reports its end.
        if (this->vms.find(vm.vm()) == nullptr) {
            this->vmLists.vmChanged(vm.vm());
        }
    }
}

RelayMessages::Update RelayHub::fullState()
{
    const SteadyTime now = this->options.clock();
    RelayMessages::Update all;
    this->recordVisibleShare(now);
    this->teamUse.addRecord(all, now);
    for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->board.table().all()) {
        *all.add_registrations() = entry.second;
    }
    for (const RelayMessages::InstanceSummary &summary : this->board.summaries(now)) {
        *all.add_summaries() = summary;
    }
    *all.add_relays() = this->options.own;
    all.mutable_relays(all.relays_size() - 1)->set_in_touch(true);
    for (const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry : this->peers) {
        *all.add_relays() = entry.second->relayAddress();
    }
    return all;
}

} // namespace Hyssophall
