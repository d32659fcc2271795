#include "process/relay/relayuplink.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds reconnectPause{30};
/// A relay that lost the others may have them back as soon as their leader is elected.
constexpr std::chrono::milliseconds outdatedAvoidance{3000};
/// A change of the leader takes about this long and isn't mended by another relay.
constexpr std::chrono::milliseconds outdatedPatience{700};
/// A relay that has a configuration gives it with its first message; one that started with an empty disk has none for a while.
constexpr std::chrono::milliseconds unconfiguredPatience{250};
/// A relay sends a configuration before it tells its version, and a VM takes it within milliseconds. Half of the time that the platform allows
/// for a configuration to come into force.
constexpr std::chrono::milliseconds behindPatience{1000};
/// A status is told with each message; older than this, the connection is as good as lost.
constexpr std::chrono::milliseconds statusLife{500};
/// Both sides send a message every 150 ms at least, so a connection that works has a confirmation of the last 300 ms.
constexpr std::chrono::milliseconds knowledgeLife{500};

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

std::uint64_t RelayUplink::send(const RelayMessages::News &news)
{
    return this->outgoing.add(news);
}

double RelayUplink::visibleShare() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool isHeard = this->statusHeard && this->knownAsOf && this->hooks.clock() - *this->knownAsOf < knowledgeLife;
    return isHeard ? this->toldShare() : 1.0 / std::max<std::uint32_t>(1, this->status.known_vms());
}

double RelayUplink::toldShare() const
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
    if (!this->knownAsOf) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->hooks.clock() - *this->knownAsOf);
}

bool RelayUplink::isCurrent() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->statusHeard && this->hooks.clock() - *this->statusHeard < statusLife && this->status.current();
}

void RelayUplink::keepConnected()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        const std::string address = this->choice.next(this->hooks.clock(), this->hooks.random);
        if (!address.empty()) {
            RelayLink::Options linkOptions;
            linkOptions.address = address;
            linkOptions.fleetSecret = this->options.fleetSecret;
            linkOptions.timing = this->options.timing;
            RelayExchange::Hooks exchangeHooks;
            exchangeHooks.receive = [this](const RelayMessages::News &news) { this->receive(news); };
            exchangeHooks.complete = [this](RelayMessages::News &news) { this->noteSent(news.sequence()); };
            this->link = std::make_unique<RelayLink>(linkOptions, std::move(exchangeHooks));
            this->connectedTo = address;
            this->outdatedSince.reset();
            this->behindSince.reset();
            // The greeting has no number and is confirmed by whatever comes first.
            this->sent = {{0, this->hooks.clock()}};
            this->heardUntil.reset();
            lock.unlock();
            const bool stood = this->link->run(this->greeting(), this->outgoing);
            LOG(WARNING) << (stood ? "The connection to relay " : "No connection to relay ") << address << (stood ? " has ended" : "");
            lock.lock();
            this->choice.noteFailure(address, this->hooks.clock());
            // What others admit isn't heard from now on.
            this->statusHeard.reset();
        }
        this->stopped.wait_for(lock, reconnectPause, [this] { return this->stopping; });
    }
}

RelayMessages::News RelayUplink::greeting()
{
    RelayMessages::News first = this->hooks.greet(this->outgoing.nextSequence());
    std::lock_guard<std::mutex> lock(this->mutex);
    first.mutable_greeting()->set_known_vms(this->status.known_vms());
    return first;
}

void RelayUplink::receive(const RelayMessages::News &news)
{
    SteadyTime heardFrom;
    SteadyTime heardTo;
    double share = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (const RelayMessages::RelayAddress &address : news.relays()) {
            this->choice.learn(address);
        }
        this->takeConfirmation(news.confirmed());
        if (news.has_status()) {
            this->takeStatus(news.status());
        }
        // The first message tells all up to now, and each later one all up to what it confirms.
        heardFrom = this->heardUntil.value_or(this->hooks.clock());
        heardTo = std::max(heardFrom, this->knownAsOf.value_or(heardFrom));
        this->heardUntil = heardTo;
        share = this->toldShare();
    }
    this->hooks.heard(heardFrom, heardTo, share);
    this->hooks.confirmed(news.confirmed());
    this->hooks.receive(news);
}

void RelayUplink::noteSent(std::uint64_t sequence)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->sent.push_back({sequence, this->hooks.clock()});
}

void RelayUplink::takeConfirmation(std::uint64_t confirmed)
{
    while (!this->sent.empty() && this->sent.front().sequence <= confirmed) {
        this->knownAsOf = this->sent.front().at;
        this->sent.pop_front();
    }
}

void RelayUplink::takeStatus(const RelayMessages::RelayStatus &newStatus)
{
    const SteadyTime now = this->hooks.clock();
    if (newStatus.current() != this->status.current() || !this->statusHeard) {
        LOG(INFO) << "Relay " << this->connectedTo << (newStatus.current() ? " is current" : " isn't current") << "; it hears of " << newStatus.visible_vms()
                  << " of " << newStatus.known_vms() << " VMs";
    }
    this->status = newStatus;
    this->statusHeard = now;
    this->greetAnewIfBehind(now);
    if (newStatus.current()) {
        this->outdatedSince.reset();
        this->choice.noteSuccess(this->connectedTo);
        this->moveHome(now);
        return;
    }
    if (!this->outdatedSince) {
        this->outdatedSince = now;
    }
    this->moveOnIfOutdated(now);
}

void RelayUplink::moveHome(SteadyTime now)
{
    if (this->choice.shouldMoveHome(this->connectedTo, now)) {
        LOG(INFO) << "Moving from relay " << this->connectedTo << " to one of this failure domain";
        this->link->cancel();
    }
}

void RelayUplink::greetAnewIfBehind(SteadyTime now)
{
    const std::uint64_t own = this->hooks.configurationVersion();
    if (this->status.configuration_version() <= own) {
        this->behindSince.reset();
        return;
    }
    if (!this->behindSince) {
        this->behindSince = now;
    }
    if (now - *this->behindSince >= behindPatience) {
        LOG(WARNING) << "Relay " << this->connectedTo << " has configuration " << this->status.configuration_version() << " and this VM still has " << own
                     << "; connecting anew";
        this->link->cancel();
    }
}

void RelayUplink::moveOnIfOutdated(SteadyTime now)
{
    const std::chrono::milliseconds patience = this->hooks.isConfigured() ? outdatedPatience : unconfiguredPatience;
    if (now - *this->outdatedSince >= patience && this->choice.hasOther(this->connectedTo, now)) {
        this->choice.avoid(this->connectedTo, outdatedAvoidance, now);
        this->link->cancel();
    }
}

} // namespace Hyssophall
