#include "process/relay/relaychoice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace Hyssophall {

namespace {

/// Exponential backoff after failed connections to a relay. Without it, attempts to connect to a lost relay take up time in which the VM
/// receives no updates.
constexpr std::chrono::milliseconds initialRetryDelay{500};
constexpr std::chrono::milliseconds maximumRetryDelay{4000};

} // namespace

RelayChoice::RelayChoice(std::string failureDomain, const std::vector<std::string> &seeds)
    : failureDomain(std::move(failureDomain))
{
    for (const std::string &seed : seeds) {
        this->relays.emplace_back().address = seed;
    }
}

void RelayChoice::addOrUpdate(const RelayMessages::RelayAddress &reported)
{
    Relay *known = this->find(reported.address());
    if (known == nullptr) {
        known = &this->relays.emplace_back();
        known->address = reported.address();
    }
    known->isReachable = reported.in_touch();
    known->isNotCurrent = reported.not_current();
    if (!reported.failure_domain().empty()) {
        known->failureDomain = reported.failure_domain();
    }
}

std::string RelayChoice::next(SteadyTime now, const RandomSource &random) const
{
    using Rank = std::tuple<SteadyTime, bool, bool, bool, std::uint64_t>;
    const bool reachesMajority = this->reportsMajority();
    std::string best;
    Rank bestRank;
    for (const Relay &relay : this->relays) {
        const Rank rank{std::max({now, relay.avoidedUntil, relay.refusedUntil}),
            !mayBeCurrent(relay, reachesMajority),
            !relay.isReachable,
            !this->isLocal(relay),
            random()};
        if (best.empty() || rank < bestRank) {
            best = relay.address;
            bestRank = rank;
        }
    }
    return best;
}

void RelayChoice::recordFailure(const std::string &address, SteadyTime now)
{
    Relay *relay = this->find(address);
    if (relay != nullptr) {
        relay->retryDelay = std::clamp(2 * relay->retryDelay, initialRetryDelay, maximumRetryDelay);
        relay->avoidedUntil = std::max(relay->avoidedUntil, now + relay->retryDelay);
    }
}

void RelayChoice::recordSuccess(const std::string &address)
{
    Relay *relay = this->find(address);
    if (relay != nullptr) {
        relay->retryDelay = std::chrono::milliseconds(0);
    }
}

void RelayChoice::avoid(const std::string &address, std::chrono::milliseconds duration, SteadyTime now)
{
    Relay *relay = this->find(address);
    if (relay != nullptr) {
        relay->avoidedUntil = std::max(relay->avoidedUntil, now + duration);
    }
}

void RelayChoice::recordRefusal(const std::string &address, std::chrono::milliseconds duration, SteadyTime now)
{
    Relay *relay = this->find(address);
    if (relay != nullptr) {
        relay->refusedUntil = now + duration;
    }
}

SteadyTime RelayChoice::refusedUntil(const std::string &address) const
{
    const Relay *relay = this->find(address);
    return relay == nullptr ? SteadyTime() : relay->refusedUntil;
}

bool RelayChoice::isLocal(const std::string &address) const
{
    const Relay *relay = this->find(address);
    return relay != nullptr && this->isLocal(*relay);
}

bool RelayChoice::hasAlternative(const std::string &address, SteadyTime now) const
{
    const bool reachesMajority = this->reportsMajority(address);
    return std::any_of(this->relays.begin(), this->relays.end(), [&address, now, reachesMajority](const Relay &relay) {
        return relay.address != address && mayBeCurrent(relay, reachesMajority) && relay.avoidedUntil <= now && relay.refusedUntil <= now;
    });
}

bool RelayChoice::shouldSwitchToLocalRelay(const std::string &connectedTo, SteadyTime now) const
{
    const bool isConnectedLocally = std::any_of(
        this->relays.begin(), this->relays.end(), [this, &connectedTo](const Relay &relay) { return relay.address == connectedTo && this->isLocal(relay); });
    return !isConnectedLocally && std::any_of(this->relays.begin(), this->relays.end(), [this, now](const Relay &relay) {
        return this->isLocal(relay) && relay.isReachable && !relay.isNotCurrent && relay.avoidedUntil <= now && relay.refusedUntil <= now;
    });
}

bool RelayChoice::reportsMajority(const std::string &reporter) const
{
    const std::ptrdiff_t reachable
        = std::count_if(this->relays.begin(), this->relays.end(), [&reporter](const Relay &relay) { return relay.address == reporter || relay.isReachable; });
    return 2 * static_cast<std::size_t>(reachable) > this->relays.size();
}

bool RelayChoice::mayBeCurrent(const Relay &relay, bool reachesMajority)
{
    return !relay.isNotCurrent && (relay.isReachable || !reachesMajority);
}

RelayChoice::Relay *RelayChoice::find(const std::string &address)
{
    const auto found = std::find_if(this->relays.begin(), this->relays.end(), [&address](const Relay &relay) { return relay.address == address; });
    return found == this->relays.end() ? nullptr : &*found;
}

const RelayChoice::Relay *RelayChoice::find(const std::string &address) const
{
    const auto found = std::find_if(this->relays.begin(), this->relays.end(), [&address](const Relay &relay) { return relay.address == address; });
    return found == this->relays.end() ? nullptr : &*found;
}

bool RelayChoice::isLocal(const Relay &relay) const
{
    return relay.failureDomain == this->failureDomain;
}

} // namespace Hyssophall
