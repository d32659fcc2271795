#pragma once

#include "process/fleet/recordstore.h"
#include "process/fleet/rendezvousassignment.h"
#include "process/hooks.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Keeps the leases of the instances whose registrar this VM is, and forwards other announcements to their registrars.
 *
 * Only transitions become records. An instance expires when its lease ran out, except in these cases, in which the fault is
 * likelier in this VM or its network:
 * - Less than half of the roster is alive here, or was within the lease time.
 * - This VM stalled for longer than a lease renewal takes.
 * - Half of the instances that the service had 10 s ago expired within these 10 s, by any registrar's decision. So that
 *   registrars see each other's decisions in time, those of the upper half of the service's ids wait for 5 s more.
 */
class Registrar
{
public:
    using Answer = std::function<void(const FleetMessages::AnnounceReply &)>;
    /// The reply of another VM, or nothing when the call failed.
    using ForwardAnswer = std::function<void(std::optional<FleetMessages::AnnounceReply>)>;

    struct Hooks {
        SteadyClock clock;
        /// Takes a record and passes it on.
        std::function<void(const FleetMessages::Record &)> publish;
        std::function<void(const std::string &memberId, const FleetMessages::AnnounceRequest &request, ForwardAnswer answer)> forward;
        /// Live members in ascending order.
        std::function<std::vector<std::string>()> liveMembers;
        std::function<std::size_t()> rosterSize;
    };

    static constexpr std::chrono::milliseconds defaultLease{10000};
    static constexpr std::chrono::milliseconds shortestLease{1000};
    static constexpr std::chrono::milliseconds longestLease{60000};
    /// Window in which at most half of a service's instances expire.
    static constexpr std::chrono::seconds expiryWindow{10};
    /// Skew of two renewals, 2 s, and the time in which a record reaches all VMs, 3 s.
    static constexpr std::chrono::seconds upperHalfDelay{5};
    /// A longer time between two ticks means that this VM stalled and may have missed renewals.
    static constexpr std::chrono::seconds longestTickGap{2};

    /// @p records must outlive this object; it is added to the listeners.
    Registrar(std::string ownId, RecordStore &records, Hooks hooks);

    /// Takes an announcement of an instance or of another VM. The answer may come on another thread.
    void announce(const FleetMessages::AnnounceRequest &request, Answer answer);

    /// Takes over and expires leases; called a few times a second.
    void tick();

private:
    struct Lease {
        SteadyTime end;
        std::chrono::milliseconds duration = defaultLease;
    };

    static std::string nameOf(const RecordStore::InstanceKey &key);
    static bool isValid(const FleetMessages::Instance &instance);
    void noteChange(const FleetMessages::Instance &instance);
    void takeChanges();
    std::string forwardTarget(const FleetMessages::AnnounceRequest &request);
    bool apply(const FleetMessages::AnnounceRequest &request);
    bool isTrustworthy(SteadyTime now);
    void keepOwnLeases(SteadyTime now);
    bool mayExpire(const RecordStore::InstanceKey &key, SteadyTime overdueSince, SteadyTime now) const;
    void expire(const FleetMessages::Instance &instance);

    const std::string ownId;
    RecordStore &records;
    const Hooks hooks;
    std::mutex changesMutex;
    std::set<RecordStore::InstanceKey> changes;
    std::mutex mutex;
    RendezvousAssignment assignment;
    std::map<std::string, RecordStore::InstanceKey> keys;
    std::map<std::string, Lease> leases;
    SteadyTime lastTick;
};

} // namespace Hyssophall
