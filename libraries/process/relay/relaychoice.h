#pragma once

#include "process/hooks.h"
#include "relay.pb.h"

#include <chrono>
#include <string>
#include <vector>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/// Selects the relay that a VM connects to, by what relays report about each other and by the VM's own failed connections. Not thread-safe.
class RelayChoice
{
public:
    RelayChoice(std::string failureDomain, const std::vector<std::string> &seeds);

    /// Adds or updates a relay, by what it reports of itself or another relay reports of it.
    void addOrUpdate(const RelayMessages::RelayAddress &reported);

    /// Address of the relay to connect to next, or empty when none is known. Prefers, in this order: the relay whose backoff ends first or is over,
    /// one that may be current, one that is reachable by other relays, and one of the VM's own failure domain. Breaks ties at random.
    std::string next(SteadyTime now, const RandomSource &random) const;

    /// Call when a connection to the relay has failed or ended. The relay isn't tried for a backoff time that doubles with each failure.
    void recordFailure(const std::string &address, SteadyTime now);

    /// Call when the relay has sent that it is current. Resets the backoff.
    void recordSuccess(const std::string &address);

    /// Call when the relay responds but isn't current. It isn't tried for @p duration.
    void avoid(const std::string &address, std::chrono::milliseconds duration, SteadyTime now);

    /// Call when the relay has refused the connection for @p duration, since too many VMs connect at once.
    void recordRefusal(const std::string &address, std::chrono::milliseconds duration, SteadyTime now);

    /// Until when the relay refuses connections, as it said.
    SteadyTime refusedUntil(const std::string &address) const;

    /// Whether the relay is known to be in the VM's own failure domain.
    bool isLocal(const std::string &address) const;

    /// Whether a relay other than @p address can be tried at once and may be current as far as @p address reports. One that @p address reports as
    /// unreachable may be current only if @p address reaches no majority of the relays; otherwise it is the unreachable one that is lost.
    bool hasAlternative(const std::string &address, SteadyTime now) const;

    /// Whether more than half of the relays are reachable as far as the latest reports say. @p reporter counts as reachable.
    bool reportsMajority(const std::string &reporter = std::string()) const;

    /// Whether the VM is connected across failure domains while a relay of its own failure domain is reported as reachable and
    /// current and is not in backoff.
    bool shouldSwitchToLocalRelay(const std::string &connectedTo, SteadyTime now) const;

private:
    struct Relay {
        std::string address;
        std::string failureDomain;
        /// Whether the relay that reported it last is connected to it. True until one has reported it, so that it is tried.
        bool isReachable = true;
        bool isNotCurrent = false;
        SteadyTime refusedUntil;
        SteadyTime avoidedUntil;
        std::chrono::milliseconds retryDelay{0};
    };

    Relay *find(const std::string &address);
    const Relay *find(const std::string &address) const;
    bool isLocal(const Relay &relay) const;
    /// Whether the relay may be current: one that isn't reachable may be only if the reporting relay reached no majority of the relays.
    static bool mayBeCurrent(const Relay &relay, bool reachesMajority);

    const std::string failureDomain;
    std::vector<Relay> relays;
};

} // namespace Hyssophall
