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
 * Tracks the leases of the upstream instances that are assigned to this VM, and forwards announcements of other instances to
 * the VMs (registrars) they are assigned to. Assignment is by rendezvous hashing over the live members.
 *
 * Only state transitions become records; a renewal doesn't. An instance expires when its lease runs out, except in these
 * cases, in which the fault is more likely in this VM or its network:
 * - This VM sees less than half of the roster as alive, or did so within the lease time.
 * - This VM was suspended for longer than the time between two lease renewals.
 * - Half of the instances that the service had 10 s ago expired within these 10 s, by the decisions of all registrars. The
 *   instances in the upper half of the service's ids expire 5 s later, so that registrars see each other's decisions in time.
 */
class Registrar
{
public:
    using ReplyHandler = std::function<void(const FleetMessages::AnnounceReply &)>;
    /// Called with the reply of the other VM, or with nothing if the call failed.
    using ForwardReplyHandler = std::function<void(std::optional<FleetMessages::AnnounceReply>)>;

    struct Hooks {
        SteadyClock clock;
        /// Stores a record and sends it to the other VMs.
        std::function<void(const FleetMessages::Record &)> publish;
        std::function<void(const std::string &memberId, const FleetMessages::AnnounceRequest &request, ForwardReplyHandler onReply)> forward;
        /// Ids of the live members in ascending order.
        std::function<std::vector<std::string>()> liveMembers;
        std::function<std::size_t()> rosterSize;
    };

    static constexpr std::chrono::milliseconds defaultLease{10000};
    static constexpr std::chrono::milliseconds minimumLease{1000};
    static constexpr std::chrono::milliseconds maximumLease{60000};
    /// Within any window of this length at most half of a service's instances expire.
    static constexpr std::chrono::seconds expiryWindow{10};
    /// Time between two renewals, 2 s, plus the time in which a record reaches all VMs, 3 s.
    static constexpr std::chrono::seconds upperHalfDelay{5};
    /// A longer time between two calls of tick() means that this VM was suspended and may have missed renewals.
    static constexpr std::chrono::seconds maximumTickGap{2};

    /// @p records must outlive this object, which adds a listener to it.
    Registrar(std::string ownId, RecordStore &records, Hooks hooks);

    /// Handles an announcement that an instance sent or another VM forwarded. @p onReply may be called on another thread.
    void announce(const FleetMessages::AnnounceRequest &request, ReplyHandler onReply);

    /// Starts leases for instances that are newly assigned to this VM, and expires those that ran out. Called a few times a second.
    void tick();

private:
    struct Lease {
        SteadyTime end;
        std::chrono::milliseconds duration = defaultLease;
    };

    static std::string nameOf(const RecordStore::InstanceKey &key);
    static bool isValid(const FleetMessages::Instance &instance);
    void queueChange(const FleetMessages::Instance &instance);
    void applyChanges();
    std::string forwardTarget(const FleetMessages::AnnounceRequest &request);
    bool apply(const FleetMessages::AnnounceRequest &request);
    bool isViewReliable(SteadyTime now);
    void updateOwnLeases(SteadyTime now);
    bool mayExpire(const RecordStore::InstanceKey &key, SteadyTime leaseEnd, SteadyTime now) const;
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
