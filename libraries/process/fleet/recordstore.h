#pragma once

#include "process/fleet/fleettransport.h"
#include "process/fleet/instancedirectory.h"
#include "process/hooks.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Hyssophall {

/**
 * Store of the records that are replicated to all VMs by gossip: announced instances, ejections and poison requests.
 *
 * Instances are ordered by (incarnation, sequence), ejections by (epoch, sequence). An older record never replaces a newer
 * one. While the live members differ between VMs, two registrars may give different transitions the same sequence number.
 * Then the greater state wins, so that all VMs keep the same record. Records carry remaining times, which count from
 * receipt on this VM's monotonic clock.
 */
class RecordStore final : public InstanceDirectory
{
public:
    /// (service, instance id). The instance id alone isn't unique, since two services may announce the same one.
    using InstanceKey = std::pair<std::string, std::string>;
    /// Called without locks held, and in no fixed order between threads.
    using InstanceListener = std::function<void(const FleetMessages::Instance &)>;
    /// @p until is the end of the ejection. It isn't in the future if the record ends the ejection.
    using EjectionListener = std::function<void(const FleetMessages::Ejection &, SteadyTime until)>;
    using PoisonListener = std::function<void(std::uint64_t fingerprint, SteadyTime until)>;

    static constexpr std::size_t bucketCount = 64;
    using Digests = std::array<std::uint64_t, bucketCount>;

    explicit RecordStore(SteadyClock clock);

    std::shared_ptr<const Instances> instances(const std::string &service) const override;

    /// All listeners are added before the first record is merged.
    void addInstanceListener(InstanceListener listener);
    void addEjectionListener(EjectionListener listener);
    void addPoisonListener(PoisonListener listener);

    /// Stores a record if it is valid and newer than the stored one. Returns whether it was stored.
    bool merge(const FleetMessages::Record &record);

    /// Key of a record for find(); empty for a record without content.
    static std::string keyOf(const FleetMessages::Record &record);

    /// The stored record with its remaining time updated, or nothing if there is none.
    std::optional<FleetMessages::Record> find(const std::string &key) const;
    std::optional<FleetMessages::Instance> findInstance(const InstanceKey &key) const;

    /// Instance records (expired ones included) in the buckets whose digest differs from @p digests, or all instance records if
    /// there are no digests. In either case also all ejections and all poison records in force.
    std::vector<FleetMessages::Record> recordsDifferingFrom(const std::optional<Digests> &digests) const;

    /// One hash per bucket over the instances that haven't expired.
    Digests digests() const;
    /// One hash over the hashes of all buckets.
    static std::uint64_t combineDigests(const Digests &digests);

    /// Number of instances of a service that expired after @p since. Counts the decisions of all registrars.
    std::size_t countExpiries(const std::string &service, SteadyTime since) const;

    /// Removes expired instances and ended ejections after ten minutes, and poison records when they end.
    void prune();

    /// Whether requests with this fingerprint are refused as poison at present.
    bool isPoison(std::uint64_t fingerprint) const;

private:
    struct Service {
        std::map<std::string, FleetMessages::Instance> instances;
        std::size_t live = 0;
        std::deque<SteadyTime> expiries;
        /// List returned by instances(). Null after a change, until it is rebuilt.
        std::shared_ptr<const Instances> view;
        /// Earliest end of an ejection in the view, which must be rebuilt then.
        SteadyTime viewEnd = SteadyTime::max();
    };
    struct TimedEjection {
        FleetMessages::Ejection ejection;
        SteadyTime until;
    };

    bool mergeInstance(const FleetMessages::Instance &instance);
    bool mergeEjection(const FleetMessages::Ejection &ejection);
    bool mergePoison(const FleetMessages::Poison &poison);
    void toggleDigest(const FleetMessages::Instance &instance);
    void recordExpiry(Service &service, SteadyTime now);
    void rebuildView(Service &service, SteadyTime now) const;
    bool isEjected(const FleetMessages::Instance &instance, SteadyTime now, SteadyTime &end) const;
    static FleetMessages::Record recordOf(const FleetMessages::Instance &instance);
    static FleetMessages::Record recordOf(const TimedEjection &timed, SteadyTime now);
    static FleetMessages::Record recordOf(std::uint64_t fingerprint, SteadyTime until, SteadyTime now);

    const SteadyClock clock;
    mutable std::mutex mutex;
    mutable std::map<std::string, Service, std::less<>> services;
    std::map<InstanceKey, TimedEjection> ejections;
    std::map<std::uint64_t, SteadyTime> poisons;
    /// When each expired instance can be removed, in ascending order.
    std::deque<std::pair<SteadyTime, InstanceKey>> expired;
    Digests bucketDigests = {};
    std::vector<InstanceListener> instanceListeners;
    std::vector<EjectionListener> ejectionListeners;
    std::vector<PoisonListener> poisonListeners;
};

} // namespace Hyssophall
