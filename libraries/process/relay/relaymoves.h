#pragma once

#include "process/hooks.h"
#include "process/relay/relaychoice.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/// Decides when a VM leaves its relay, which one it connects to next and when. Has no thread and no connection. Not thread-safe.
class RelayMoves
{
public:
    /// Why a connection to a relay ended or wasn't established.
    enum class Reason {
        NotCurrent,
        LocalRelay,
        ConfigurationBehind,
        ConnectionEnded,
        NotConnected,
        Refused,
    };
    static constexpr std::array reasons{
        Reason::NotCurrent, Reason::LocalRelay, Reason::ConfigurationBehind, Reason::ConnectionEnded, Reason::NotConnected, Reason::Refused};
    /// Name of the reason in metrics.
    static std::string nameOf(Reason reason);

    /// What a VM has in force when a status arrives.
    struct Configuration {
        bool isLoaded = false;
        /// Includes the configuration that has arrived with the status.
        std::uint64_t version = 0;
    };

    RelayMoves(const std::string &failureDomain, const std::vector<std::string> &seeds, RandomSource random);

    /// Address of the relay to connect to, or empty when none is known.
    std::string next(SteadyTime now) const;
    SteadyTime refusedUntil(const std::string &address) const;
    bool isLocal(const std::string &address) const;

    void beginConnection(const std::string &address, SteadyTime now);
    /// Time limit for the connection that begins; at least @p minimum.
    std::chrono::milliseconds connectTimeout(std::chrono::milliseconds minimum) const;

    void update(const RelayMessages::RelayAddress &reported);
    /// Returns why the connection is to be ended, or nothing if the VM stays with its relay.
    std::optional<Reason> applyStatus(const RelayMessages::RelayStatus &status, const Configuration &own, SteadyTime now);
    /// Call instead of recordEnd() when the relay has refused the connection for this long.
    void recordRefusal(std::chrono::milliseconds duration, SteadyTime now);
    /// Returns why the connection ended.
    Reason recordEnd(bool hasReceived, SteadyTime now);
    /// Number of connections that ended or weren't established for this reason.
    std::uint64_t count(Reason reason) const;
    /// Pause before the next connection.
    std::chrono::milliseconds reconnectDelay() const;

private:
    std::optional<Reason> leave(Reason reason);
    /// Whether the VM is to leave its relay for that of its own failure domain.
    bool isLocalRelayDue(SteadyTime now);
    bool isBehind(const RelayMessages::RelayStatus &status, std::uint64_t ownVersion, SteadyTime now);
    /// Whether the relay, which isn't current, is to be left for one that may be.
    bool isBetterElsewhere(const Configuration &own, SteadyTime now);

    void add(Reason reason);

    const RandomSource random;
    std::array<std::uint64_t, reasons.size()> counts{};
    RelayChoice choice;
    std::string connectedTo;
    /// Connections in a row on which no message was received.
    int failedConnections = 0;
    /// Whether this VM has been connected to a relay of its failure domain, or for long to another one.
    bool isSettled = false;
    /// Since when the relay has reported on the present connection that it is current.
    std::optional<SteadyTime> currentSince;
    /// Since when the relay has reported that it isn't current and another one may be.
    std::optional<SteadyTime> betterElsewhereSince;
    /// From 1 to 2: by which the time is multiplied for which this VM stays with its relay that isn't current.
    double moveDelayFactor = 1;
    /// Relays that this VM has left because they weren't current, since it was last connected to one that stayed current.
    int movesFromNotCurrent = 0;
    /// Since when the relay has reported that a relay of this failure domain is current.
    std::optional<SteadyTime> localRelaySince;
    /// By which the time is multiplied for which that relay must have been current.
    double localRelayFactor = 1;
    /// When the present connection to a relay of this failure domain began, if the VM left another relay for it.
    std::optional<SteadyTime> returnedAt;
    /// Returns to a relay of this failure domain in a row that didn't last.
    int shortReturns = 0;
    /// Why this VM ends the present connection; empty unless it does so itself.
    std::optional<Reason> leavingFor;
    /// Since when the relay has reported a later configuration than the one in force on this VM.
    std::optional<SteadyTime> configurationBehindSince;
    /// Connections in a row that were ended for that reason.
    int reconnectsForConfiguration = 0;
};

} // namespace Hyssophall
