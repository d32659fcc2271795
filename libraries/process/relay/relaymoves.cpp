#include "process/relay/relaymoves.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Pause between two connections. It and the connect timeout double with each connection that fails in a row, so that a relay on which many VMs wait isn't
/// kept busy by connections that are given up too early.
constexpr std::chrono::milliseconds initialReconnectDelay{30};
constexpr std::chrono::milliseconds maximumReconnectDelay{500};
constexpr std::chrono::milliseconds maximumConnectTimeout{2000};
constexpr int maximumDoublings = 6;
/// A relay that isn't current isn't tried again for this long. It may be current again as soon as the control group has elected a leader.
constexpr std::chrono::milliseconds notCurrentBackoff{3000};
/// How long a relay may report that it isn't current, and another one that may be, before the VM leaves it. Relays follow a new leader of the control group
/// at different times; most VMs whose relay is late needn't move.
constexpr std::chrono::milliseconds notCurrentTimeout{700};
/// The same limit while the relay is in the smaller part of a split, where it can't become current, or the VM has no configuration. A relay that has a
/// configuration sends it with its first message; a relay that started with an empty disk has none for a while.
constexpr std::chrono::milliseconds shortNotCurrentTimeout{250};
/// Both limits double with each relay that the VM leaves for this reason before it has found one that stays current. When no relay is current, moving helps
/// nobody, and each move costs the next relay a full state.
constexpr std::chrono::milliseconds maximumNotCurrentTimeout{16000};
/// A connection on which the relay has been current for this long resets growing pauses.
constexpr std::chrono::milliseconds stableDuration{10000};
/// A VM goes to the relay of its failure domain once that has been current for one to three times this long, so that it isn't left again soon and the VMs of a
/// failure domain don't arrive together. The time doubles with each return that lasted for less than lastingReturn.
constexpr std::chrono::milliseconds localRelayDelay{5000};
constexpr std::chrono::milliseconds maximumLocalRelayDelay{40000};
constexpr double localRelaySpread = 2;
constexpr std::chrono::milliseconds lastingReturn{60000};
/// How long the relay's configuration may be newer than the VM's before the VM reconnects. A relay sends a configuration before it reports its
/// version, and a VM applies it within milliseconds. The limit is half of the time that the platform allows for a configuration to come into
/// force.
constexpr std::chrono::milliseconds configurationTimeout{1000};
/// The limit doubles with each connection in a row that is ended for this reason.
constexpr std::chrono::milliseconds maximumConfigurationTimeout{16000};
constexpr std::uint64_t randomSteps = 1000;

std::chrono::milliseconds doubled(std::chrono::milliseconds initial, int failures, std::chrono::milliseconds maximum)
{
    return std::min(initial * (1 << std::min(failures, maximumDoublings)), maximum);
}

} // namespace

RelayMoves::RelayMoves(const std::string &failureDomain, const std::vector<std::string> &seeds, RandomSource random)
    : random(std::move(random))
    , choice(failureDomain, seeds)
{
}

std::string RelayMoves::nameOf(Reason reason)
{
    switch (reason) {
    case Reason::NotCurrent:
        return "not_current";
    case Reason::LocalRelay:
        return "local_relay";
    case Reason::ConfigurationBehind:
        return "configuration_behind";
    case Reason::ConnectionEnded:
        return "connection_ended";
    case Reason::NotConnected:
        return "not_connected";
    case Reason::Refused:
        return "refused";
    }
    return "unknown";
}

std::string RelayMoves::next(SteadyTime now) const
{
    return this->choice.next(now, this->random);
}

SteadyTime RelayMoves::refusedUntil(const std::string &address) const
{
    return this->choice.refusedUntil(address);
}

bool RelayMoves::isLocal(const std::string &address) const
{
    return this->choice.isLocal(address);
}

void RelayMoves::beginConnection(const std::string &address, SteadyTime now)
{
    this->connectedTo = address;
    this->returnedAt = this->leavingFor == Reason::LocalRelay && this->isLocal(address) ? std::optional<SteadyTime>(now) : std::nullopt;
    this->leavingFor.reset();
    this->localRelaySince.reset();
    this->currentSince.reset();
    this->betterElsewhereSince.reset();
    this->configurationBehindSince.reset();
}

std::chrono::milliseconds RelayMoves::connectTimeout(std::chrono::milliseconds minimum) const
{
    return doubled(minimum, this->failedConnections, maximumConnectTimeout);
}

void RelayMoves::update(const RelayMessages::RelayAddress &reported)
{
    this->choice.addOrUpdate(reported);
}

std::optional<RelayMoves::Reason> RelayMoves::applyStatus(const RelayMessages::RelayStatus &status, const Configuration &own, SteadyTime now)
{
    // A relay that refuses the connection sends no status.
    this->isSettled = this->isSettled || this->isLocal(this->connectedTo);
    if (this->isBehind(status, own.version, now)) {
        return this->leave(Reason::ConfigurationBehind);
    }
    if (status.current()) {
        this->betterElsewhereSince.reset();
        this->currentSince = this->currentSince.value_or(now);
        if (now - *this->currentSince >= stableDuration) {
            this->movesFromNotCurrent = 0;
            this->isSettled = true;
        }
        this->choice.recordSuccess(this->connectedTo);
        return this->isLocalRelayDue(now) ? this->leave(Reason::LocalRelay) : std::nullopt;
    }
    this->currentSince.reset();
    this->localRelaySince.reset();
    if (!this->isBetterElsewhere(own, now)) {
        return std::nullopt;
    }
    ++this->movesFromNotCurrent;
    this->choice.avoid(this->connectedTo, notCurrentBackoff, now);
    return this->leave(Reason::NotCurrent);
}

std::optional<RelayMoves::Reason> RelayMoves::leave(Reason reason)
{
    this->leavingFor = reason;
    return reason;
}

bool RelayMoves::isLocalRelayDue(SteadyTime now)
{
    if (!this->choice.shouldSwitchToLocalRelay(this->connectedTo, now)) {
        this->localRelaySince.reset();
        return false;
    }
    if (!this->localRelaySince) {
        this->localRelaySince = now;
        this->localRelayFactor = 1 + localRelaySpread * static_cast<double>(this->random() % randomSteps) / randomSteps;
    }
    if (!this->isSettled) {
        // It has just started, so it serves little yet and costs its relay least now.
        return true;
    }
    return now - *this->localRelaySince >= doubled(localRelayDelay, this->shortReturns, maximumLocalRelayDelay) * this->localRelayFactor;
}

bool RelayMoves::isBehind(const RelayMessages::RelayStatus &status, std::uint64_t ownVersion, SteadyTime now)
{
    if (status.configuration_version() <= ownVersion) {
        this->configurationBehindSince.reset();
        this->reconnectsForConfiguration = 0;
        return false;
    }
    if (!this->configurationBehindSince) {
        this->configurationBehindSince = now;
    }
    if (now - *this->configurationBehindSince < doubled(configurationTimeout, this->reconnectsForConfiguration, maximumConfigurationTimeout)) {
        return false;
    }
    ++this->reconnectsForConfiguration;
    return true;
}

bool RelayMoves::isBetterElsewhere(const Configuration &own, SteadyTime now)
{
    if (!this->choice.hasAlternative(this->connectedTo, now)) {
        this->betterElsewhereSince.reset();
        return false;
    }
    if (!this->betterElsewhereSince) {
        this->betterElsewhereSince = now;
        // Spreads the moves of VMs whose relays cease to be current at the same time.
        this->moveDelayFactor = 1 + static_cast<double>(this->random() % randomSteps) / randomSteps;
    }
    const bool mayBecomeCurrent = own.isLoaded && this->choice.reportsMajority(this->connectedTo);
    const std::chrono::milliseconds timeout
        = doubled(mayBecomeCurrent ? notCurrentTimeout : shortNotCurrentTimeout, this->movesFromNotCurrent, maximumNotCurrentTimeout);
    return now - *this->betterElsewhereSince >= timeout * this->moveDelayFactor;
}

void RelayMoves::recordRefusal(std::chrono::milliseconds duration, SteadyTime now)
{
    this->add(Reason::Refused);
    this->choice.recordRefusal(this->connectedTo, duration, now);
}

RelayMoves::Reason RelayMoves::recordEnd(bool hasReceived, SteadyTime now)
{
    this->failedConnections = hasReceived ? 0 : this->failedConnections + 1;
    if (this->returnedAt) {
        this->shortReturns = now - *this->returnedAt < lastingReturn ? this->shortReturns + 1 : 0;
    }
    // A relay that the VM leaves has not failed.
    if (!this->leavingFor) {
        this->choice.recordFailure(this->connectedTo, now);
    }
    const Reason reason = this->leavingFor.value_or(hasReceived ? Reason::ConnectionEnded : Reason::NotConnected);
    this->add(reason);
    return reason;
}

std::uint64_t RelayMoves::count(Reason reason) const
{
    return this->counts[static_cast<std::size_t>(reason)];
}

void RelayMoves::add(Reason reason)
{
    ++this->counts[static_cast<std::size_t>(reason)];
}

std::chrono::milliseconds RelayMoves::reconnectDelay() const
{
    const std::chrono::milliseconds delay = doubled(initialReconnectDelay, this->failedConnections, maximumReconnectDelay);
    // Between half and all of it, so that VMs that were disconnected together don't come back together.
    return delay / 2 + std::chrono::milliseconds(this->random() % static_cast<std::uint64_t>(delay.count() / 2 + 1));
}

} // namespace Hyssophall
