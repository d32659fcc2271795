#include "process/relay/relaychoice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace Hyssophall {

namespace {

/// A relay that failed is left alone for this long at first, and twice as long each time, up to the longest. Attempts to connect to a relay
/// that is gone take time in which the VM hears nothing.
constexpr std::chrono::milliseconds firstFailureHold{500};
constexpr std::chrono::milliseconds longestFailureHold{4000};

} // namespace

RelayChoice::RelayChoice(std::string failureDomain, const std::vector<std::string> &seeds)
    : failureDomain(std::move(failureDomain))
{
    for (const std::string &seed : seeds) {
        this->relays.push_back({seed, "", true, SteadyTime(), std::chrono::milliseconds(0)});
    }
}

void RelayChoice::learn(const RelayMessages::RelayAddress &told)
{
    Relay *known = this->find(told.address());
    if (known == nullptr) {
        known = &this->relays.emplace_back();
        known->address = told.address();
    }
    known->inTouch = told.in_touch();
    if (!told.failure_domain().empty()) {
        known->failureDomain = told.failure_domain();
    }
}

std::string RelayChoice::next(SteadyTime now, const RandomSource &random) const
{
    using Rank = std::tuple<SteadyTime, bool, bool, std::uint64_t>;
    std::string best;
    Rank bestRank;
    for (const Relay &relay : this->relays) {
        const Rank rank{std::max(now, relay.avoidedUntil), !relay.inTouch, !this->isHome(relay), random()};
        if (best.empty() || rank < bestRank) {
            best = relay.address;
            bestRank = rank;
        }
    }
    return best;
}

void RelayChoice::noteFailure(const std::string &address, SteadyTime now)
{
    Relay *relay = this->find(address);
    if (relay != nullptr) {
        relay->failureHold = std::clamp(2 * relay->failureHold, firstFailureHold, longestFailureHold);
        relay->avoidedUntil = std::max(relay->avoidedUntil, now + relay->failureHold);
    }
}

void RelayChoice::noteSuccess(const std::string &address)
{
    Relay *relay = this->find(address);
    if (relay != nullptr) {
        relay->failureHold = std::chrono::milliseconds(0);
    }
}

void RelayChoice::avoid(const std::string &address, std::chrono::milliseconds duration, SteadyTime now)
{
    Relay *relay = this->find(address);
    if (relay != nullptr) {
        relay->avoidedUntil = std::max(relay->avoidedUntil, now + duration);
    }
}

bool RelayChoice::hasOther(const std::string &address, SteadyTime now) const
{
    return std::any_of(
        this->relays.begin(), this->relays.end(), [&address, now](const Relay &relay) { return relay.address != address && relay.avoidedUntil <= now; });
}

bool RelayChoice::shouldMoveHome(const std::string &connectedTo, SteadyTime now) const
{
    const bool isAtHome = std::any_of(
        this->relays.begin(), this->relays.end(), [this, &connectedTo](const Relay &relay) { return relay.address == connectedTo && this->isHome(relay); });
    return !isAtHome && std::any_of(this->relays.begin(), this->relays.end(), [this, now](const Relay &relay) {
        return this->isHome(relay) && relay.inTouch && relay.avoidedUntil <= now;
    });
}

RelayChoice::Relay *RelayChoice::find(const std::string &address)
{
    const auto found = std::find_if(this->relays.begin(), this->relays.end(), [&address](const Relay &relay) { return relay.address == address; });
    return found == this->relays.end() ? nullptr : &*found;
}

bool RelayChoice::isHome(const Relay &relay) const
{
    return relay.failureDomain == this->failureDomain;
}

} // namespace Hyssophall
