#include "process/relay/relayhub.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace Hyssophall {

namespace {

/// A VM that no relay has seen for so long doesn't count as part of the fleet any more. Longer than a restart takes.
constexpr std::chrono::seconds vmMemory{20};

/// The configuration without what the operators sent, which holds keys in the clear.
CatalogueMessages::Configuration withoutDocument(const CatalogueMessages::Configuration &configuration)
{
    CatalogueMessages::Configuration reduced = configuration;
    reduced.clear_document();
    return reduced;
}

} // namespace

RelayHub::RelayHub(Options options, Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , startedAt(this->options.clock())
    , board(this->options.board)
    , configuration(std::make_shared<const CatalogueMessages::Configuration>())
    , teamUse(this->options.rateWindow, this->startedAt)
{
}

void RelayHub::setConfiguration(const std::shared_ptr<const CatalogueMessages::Configuration> &newConfiguration)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (newConfiguration->version() <= this->configuration->version()) {
        return;
    }
    this->configuration = std::make_shared<const CatalogueMessages::Configuration>(withoutDocument(*newConfiguration));
    RelayMessages::News news;
    *news.mutable_configuration() = *this->configuration;
    // Peers get it through the control log.
    this->sendToVms(news, nullptr);
}

void RelayHub::rememberFleet(std::uint32_t vms)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->rememberedVms = std::max(this->rememberedVms, vms);
}

bool RelayHub::publish(const RelayMessages::Registration &registration, bool needsMajority, SteadyTime deadline)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    RelayMessages::News news;
    *news.add_registrations() = registration;
    const RelayMessages::Registration *former = this->board.table().find(registration.id());
    const bool isRenewal = former != nullptr && former->state() == registration.state()
        && former->started_at_milliseconds() == registration.started_at_milliseconds() && former->host() == registration.host()
        && former->port() == registration.port() && former->slots() == registration.slots();
    RelayMessages::News changed = this->merge(news);
    if (isRenewal) {
        // It tells nobody anything new, and there is one from each instance every second or two.
        changed.clear_registrations();
    }
    this->sendToVms(changed, nullptr);
    if (needsMajority) {
        // Told again though it was known here, since the relay that heard it first may not have reached a majority.
        const RelayMessages::Registration *known = this->board.table().find(registration.id());
        if (known != nullptr && changed.registrations().empty()) {
            *changed.add_registrations() = *known;
        }
    }
    std::map<std::string, std::uint64_t> awaited;
    for (const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry : this->peers) {
        awaited[entry.first] = entry.second->buffer.nextSequence();
    }
    this->sendToPeers(changed);
    if (!needsMajority) {
        return true;
    }
    return this->confirmations.wait_until(lock, deadline, [this, &awaited] {
        const std::ptrdiff_t confirmed = std::count_if(awaited.begin(), awaited.end(), [this](const std::pair<const std::string, std::uint64_t> &entry) {
            return this->peers.at(entry.first)->confirmed >= entry.second;
        });
        return static_cast<std::size_t>(confirmed) + 1 >= this->options.majority;
    });
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
            added = peer;
        } else if (address.failure_domain().empty() || address.failure_domain() == peer->failureDomain) {
            return;
        }
        // A seed's failure domain is unknown until it has greeted.
        peer->failureDomain = address.failure_domain();
        RelayMessages::News news;
        *news.add_relays() = peer->relayAddress();
        this->sendToVms(news, nullptr);
        for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
            if (subscriber->isRelay()) {
                subscriber->buffer.add(news);
            }
        }
    }
    if (added != nullptr) {
        LOG(INFO) << "Relay " << address.address() << " is known";
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

std::shared_ptr<RelaySubscriber> RelayHub::connect(const RelayMessages::News &first)
{
    const std::shared_ptr<RelaySubscriber> subscriber = std::make_shared<RelaySubscriber>();
    subscriber->greeting = first.greeting();
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->subscribers.push_back(subscriber);
        this->rememberedVms = std::max(this->rememberedVms, first.greeting().known_vms());
        this->teamUse.fillGaps(first, this->options.clock());
        RelayMessages::News welcome = this->everything();
        if (subscriber->isRelay()) {
            welcome.clear_summaries();
        } else {
            this->noteVm(subscriber->greeting.vm(), true);
            if (this->configuration->version() > subscriber->greeting.configuration_version()) {
                *welcome.mutable_configuration() = *this->configuration;
            }
        }
        subscriber->buffer.add(welcome);
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

void RelayHub::receive(RelaySubscriber &subscriber, const RelayMessages::News &news)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const RelayMessages::News changed = this->merge(news);
        this->sendToVms(changed, &subscriber);
        if (!subscriber.isRelay()) {
            this->sendToPeers(changed);
        }
        for (const RelayMessages::VmPresence &vm : news.vms()) {
            if (vm.present()) {
                subscriber.vms.insert(vm.vm());
            } else {
                subscriber.vms.erase(vm.vm());
            }
            this->vmsSeen[vm.vm()] = this->options.clock();
        }
    }
    subscriber.confirmed = news.sequence();
    if (!news.registrations().empty() || !news.teams().empty()) {
        // Somebody may be waiting for the confirmation.
        subscriber.buffer.wake();
    }
    for (const RelayMessages::RelayAddress &address : news.relays()) {
        this->addRelay(address);
    }
}

void RelayHub::complete(const RelaySubscriber &subscriber, RelayMessages::News &news)
{
    news.set_confirmed(subscriber.confirmed);
    if (!subscriber.isRelay()) {
        *news.mutable_status() = this->status();
    }
}

void RelayHub::disconnect(const std::shared_ptr<RelaySubscriber> &subscriber)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::erase(this->subscribers, subscriber);
        // A VM that lost its connection may be back on another one already.
        const bool isBack = std::any_of(this->subscribers.begin(), this->subscribers.end(), [&subscriber](const std::shared_ptr<RelaySubscriber> &other) {
            return other->greeting.vm() == subscriber->greeting.vm();
        });
        if (!subscriber->isRelay() && !isBack) {
            this->noteVm(subscriber->greeting.vm(), false);
        }
    }
    LOG(INFO) << (subscriber->isRelay() ? "Relay " : "VM ") << subscriber->greeting.vm() << " disconnected";
}

RelayMessages::News RelayHub::greetPeer(RelayPeer &peer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    // The greeting tells it all; what waits was told before.
    peer.buffer.clear();
    RelayMessages::News first = this->everything();
    first.clear_summaries();
    first.mutable_greeting()->set_vm(this->options.own.address());
    first.mutable_greeting()->set_relay_address(this->options.own.address());
    first.mutable_greeting()->set_failure_domain(this->options.own.failure_domain());
    first.mutable_greeting()->set_configuration_version(this->configuration->version());
    first.mutable_greeting()->set_known_vms(this->knownVms(this->options.clock()));
    for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
        if (!subscriber->isRelay()) {
            RelayMessages::VmPresence &vm = *first.add_vms();
            vm.set_vm(subscriber->greeting.vm());
            vm.set_present(true);
        }
    }
    return first;
}

void RelayHub::receiveFromPeer(RelayPeer &peer, const RelayMessages::News &news)
{
    bool isNew = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        isNew = !peer.isConnected;
        peer.isConnected = true;
        if (isNew) {
            this->sendRelayState(peer);
        }
        peer.confirmed = std::max(peer.confirmed, news.confirmed());
        RelayMessages::News registrations;
        *registrations.mutable_registrations() = news.registrations();
        this->sendToVms(this->merge(registrations), nullptr);
    }
    this->confirmations.notify_all();
    if (isNew) {
        LOG(INFO) << "Relay " << peer.address << " is in touch";
    }
    for (const RelayMessages::RelayAddress &address : news.relays()) {
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
        if (wasConnected) {
            this->sendRelayState(peer);
        }
    }
    if (wasConnected) {
        LOG(WARNING) << "Relay " << peer.address << " is out of touch";
    }
}

RelayMessages::RelayStatus RelayHub::status()
{
    const bool controlInTouch = this->hooks.isControlInTouch();
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->options.clock();
    const std::size_t visible = this->visibleVms(now).size();
    const std::ptrdiff_t connected = std::count_if(this->peers.begin(),
        this->peers.end(),
        [](const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry) { return entry.second->isConnected; });
    RelayMessages::RelayStatus status;
    status.set_current(controlInTouch && static_cast<std::size_t>(connected) + 1 >= this->options.majority);
    status.set_visible_vms(static_cast<std::uint32_t>(visible));
    status.set_known_vms(this->knownVms(now));
    status.set_configuration_version(this->configuration->version());
    return status;
}

std::uint32_t RelayHub::knownVms(SteadyTime now) const
{
    const std::uint32_t seen = static_cast<std::uint32_t>(this->vmsSeen.size());
    return now - this->startedAt < vmMemory ? std::max(seen, this->rememberedVms) : seen;
}

std::set<std::string> RelayHub::visibleVms(SteadyTime now)
{
    std::set<std::string> visible;
    for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
        if (!subscriber->isRelay()) {
            visible.insert(subscriber->greeting.vm());
            continue;
        }
        const auto peer = this->peers.find(subscriber->greeting.relay_address());
        if (peer != this->peers.end() && peer->second->isConnected) {
            visible.insert(subscriber->vms.begin(), subscriber->vms.end());
        }
    }
    for (const std::string &vm : visible) {
        this->vmsSeen[vm] = now;
    }
    std::erase_if(this->vmsSeen, [now](const std::pair<const std::string, SteadyTime> &entry) { return now - entry.second > vmMemory; });
    const double known = std::max<std::uint32_t>(1, this->knownVms(now));
    this->teamUse.noteHeard(std::min(1.0, static_cast<double>(visible.size()) / known), now);
    return visible;
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

RelayMessages::News RelayHub::merge(const RelayMessages::News &news)
{
    const SteadyTime now = this->options.clock();
    RelayMessages::News changed;
    for (const RelayMessages::Registration &registration : news.registrations()) {
        for (const RelayMessages::Registration &each : this->board.apply(registration)) {
            *changed.add_registrations() = each;
        }
    }
    for (const RelayMessages::InstanceOutcomes &outcomes : news.outcomes()) {
        this->board.apply(outcomes, now);
    }
    *changed.mutable_outcomes() = news.outcomes();
    *changed.mutable_teams() = news.teams();
    this->teamUse.add(news, *this->configuration, now);
    *changed.mutable_services() = news.services();
    *changed.mutable_lost_requests() = news.lost_requests();
    return changed;
}

double RelayHub::largestTeamUse()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->teamUse.largest(*this->configuration, this->options.clock());
}

void RelayHub::sendToVms(const RelayMessages::News &news, const RelaySubscriber *except)
{
    for (const std::shared_ptr<RelaySubscriber> &subscriber : this->subscribers) {
        if (!subscriber->isRelay() && subscriber.get() != except) {
            subscriber->buffer.add(news);
        }
    }
}

void RelayHub::sendToPeers(const RelayMessages::News &news)
{
    for (const std::pair<const std::string, std::shared_ptr<RelayPeer>> &entry : this->peers) {
        entry.second->buffer.add(news);
    }
}

void RelayHub::sendRelayState(const RelayPeer &peer)
{
    RelayMessages::News news;
    *news.add_relays() = peer.relayAddress();
    this->sendToVms(news, nullptr);
}

void RelayHub::noteVm(const std::string &vm, bool present)
{
    this->vmsSeen[vm] = this->options.clock();
    RelayMessages::News news;
    RelayMessages::VmPresence &presence = *news.add_vms();
    presence.set_vm(vm);
    presence.set_present(present);
    this->sendToPeers(news);
}

RelayMessages::News RelayHub::everything()
{
    const SteadyTime now = this->options.clock();
    RelayMessages::News all;
    this->visibleVms(now);
    this->teamUse.tell(all, now);
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
