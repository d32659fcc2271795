#include "process/relay/relayuplink.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds reconnectPause{30};
/// A relay that failed is tried again after the others.
constexpr std::chrono::milliseconds failedAvoidance{1000};
/// A relay that lost the others may have them back as soon as their leader is elected.
constexpr std::chrono::milliseconds outdatedAvoidance{3000};
/// A change of the leader takes about this long and isn't mended by another relay.
constexpr std::chrono::milliseconds outdatedPatience{700};
/// A status is told with each message; older than this, the connection is as good as lost.
constexpr std::chrono::milliseconds statusLife{500};

} // namespace

RelayUplink::RelayUplink(Options options, Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
{
    for (const std::string &seed : this->options.seeds) {
        this->relays.push_back({seed, "", SteadyTime()});
    }
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

void RelayUplink::tell(const RelayMessages::News &news)
{
    this->outgoing.add(news);
}

double RelayUplink::visibleShare() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const double known = std::max<std::uint32_t>(1, this->status.known_vms());
    const bool isHeard = this->statusHeard && this->hooks.clock() - *this->statusHeard < statusLife;
    return isHeard ? std::clamp(this->status.visible_vms() / known, 1 / known, 1.0) : 1 / known;
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
        const std::string address = this->nextRelay();
        if (!address.empty()) {
            RelayLink::Options linkOptions;
            linkOptions.address = address;
            linkOptions.fleetSecret = this->options.fleetSecret;
            linkOptions.timing = this->options.timing;
            RelayExchange::Hooks exchangeHooks;
            exchangeHooks.receive = [this](const RelayMessages::News &news) { this->receive(news); };
            exchangeHooks.complete = [](RelayMessages::News &) {};
            this->link = std::make_unique<RelayLink>(linkOptions, std::move(exchangeHooks));
            this->connectedTo = address;
            this->outdatedSince.reset();
            lock.unlock();
            const bool stood = this->link->run(this->hooks.greet(), this->outgoing);
            LOG(WARNING) << (stood ? "The connection to relay " : "No connection to relay ") << address << (stood ? " has ended" : "");
            lock.lock();
            this->avoid(address, failedAvoidance);
            // What others admit isn't heard from now on.
            this->statusHeard.reset();
        }
        this->stopped.wait_for(lock, reconnectPause, [this] { return this->stopping; });
    }
}

std::string RelayUplink::nextRelay()
{
    const SteadyTime now = this->hooks.clock();
    // Lower is better: those not avoided, then the own failure domain, then by chance.
    std::string best;
    std::pair<SteadyTime, std::uint64_t> bestRank;
    for (const Relay &relay : this->relays) {
        const bool isNear = relay.failureDomain == this->options.failureDomain;
        const std::uint64_t chance = this->hooks.random() >> 2U;
        const std::pair<SteadyTime, std::uint64_t> rank{std::max(now, relay.avoidedUntil), isNear ? chance : chance + (1ULL << 63U)};
        if (best.empty() || rank < bestRank) {
            best = relay.address;
            bestRank = rank;
        }
    }
    return best;
}

void RelayUplink::receive(const RelayMessages::News &news)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (const RelayMessages::RelayAddress &address : news.relays()) {
            const auto known
                = std::find_if(this->relays.begin(), this->relays.end(), [&address](const Relay &relay) { return relay.address == address.address(); });
            if (known == this->relays.end()) {
                this->relays.push_back({address.address(), address.failure_domain(), SteadyTime()});
            } else if (!address.failure_domain().empty()) {
                known->failureDomain = address.failure_domain();
            }
        }
        if (news.has_status()) {
            this->takeStatus(news.status());
        }
    }
    this->hooks.receive(news);
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
    if (newStatus.current()) {
        this->outdatedSince.reset();
        this->moveNearer();
        return;
    }
    if (!this->outdatedSince) {
        this->outdatedSince = now;
    }
    this->moveOnIfOutdated(now);
}

void RelayUplink::moveNearer()
{
    const SteadyTime now = this->hooks.clock();
    const auto isNear = [this](const Relay &relay) { return relay.failureDomain == this->options.failureDomain; };
    const bool isAtHome = std::any_of(
        this->relays.begin(), this->relays.end(), [this, isNear](const Relay &relay) { return relay.address == this->connectedTo && isNear(relay); });
    const bool hasHome
        = std::any_of(this->relays.begin(), this->relays.end(), [now, isNear](const Relay &relay) { return isNear(relay) && relay.avoidedUntil <= now; });
    if (!isAtHome && hasHome) {
        LOG(INFO) << "Moving from relay " << this->connectedTo << " to one of this failure domain";
        this->link->cancel();
    }
}

void RelayUplink::moveOnIfOutdated(SteadyTime now)
{
    const bool hasOther = std::any_of(
        this->relays.begin(), this->relays.end(), [this, now](const Relay &relay) { return relay.address != this->connectedTo && relay.avoidedUntil <= now; });
    if (now - *this->outdatedSince >= outdatedPatience && hasOther) {
        this->avoid(this->connectedTo, outdatedAvoidance);
        this->link->cancel();
    }
}

void RelayUplink::avoid(const std::string &address, std::chrono::milliseconds duration)
{
    for (Relay &relay : this->relays) {
        if (relay.address == address) {
            relay.avoidedUntil = std::max(relay.avoidedUntil, this->hooks.clock() + duration);
        }
    }
}

} // namespace Hyssophall
