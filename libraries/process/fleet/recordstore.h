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
 * The records that all VMs hold: announced instances, ejections and poison requests.
 *
 * Instances are ordered by (incarnation, sequence), ejections by (epoch, sequence); an older record never replaces a
 * newer one. Two registrars may number different transitions alike for a moment: then the greater state wins, so that
 * all VMs keep the same one. Times are durations from receipt on this VM's monotonic clock.
 */
class RecordStore final : public InstanceDirectory
{
public:
    /// Names an instance: (service, instance id). An id alone may be announced by two services.
    using InstanceKey = std::pair<std::string, std::string>;
    /// Called outside of locks, in no fixed order between threads.
    using InstanceListener = std::function<void(const FleetMessages::Instance &)>;
    /// @p until is the end of the ejection, in the past when it is ended.
    using EjectionListener = std::function<void(const FleetMessages::Ejection &, SteadyTime until)>;
    using PoisonListener = std::function<void(std::uint64_t fingerprint, SteadyTime until)>;

    static constexpr std::size_t bucketCount = 64;
    using Digests = std::array<std::uint64_t, bucketCount>;

    explicit RecordStore(SteadyClock clock);

    std::shared_ptr<const Instances> instances(const std::string &service) const override;

    /// Listeners are added before records come in.
    void addInstanceListener(InstanceListener listener);
    void addEjectionListener(EjectionListener listener);
    void addPoisonListener(PoisonListener listener);

    /// Takes a record when it is newer than what is known. Returns whether it was.
    bool merge(const FleetMessages::Record &record);

    /// The name of a record's subject in find(), or an empty string for a record without content.
    static std::string keyOf(const FleetMessages::Record &record);

    /// The present record with the time that is left, or nothing.
    std::optional<FleetMessages::Record> find(const std::string &key) const;
    std::optional<FleetMessages::Instance> findInstance(const InstanceKey &key) const;

    /// Records, expired instances among them, whose buckets differ from @p digests; all of them without digests.
    std::vector<FleetMessages::Record> recordsUnlike(const std::optional<Digests> &digests) const;

    /// Hashes over the instances that have not expired, by bucket.
    Digests digests() const;
    static std::uint64_t combine(const Digests &digests);

    /// Instances of a service that expired since @p since, by the decision of any registrar.
    std::size_t countExpiries(const std::string &service, SteadyTime since) const;

    /// Forgets records that ended long ago.
    void prune();

    /// Poison requests in force, for the refusal of matching requests.
    bool isPoison(std::uint64_t fingerprint) const;

private:
    struct Service {
        std::map<std::string, FleetMessages::Instance> instances;
        std::size_t live = 0;
        std::deque<SteadyTime> expiries;
        /// Null after a transition.
        std::shared_ptr<const Instances> view;
        /// When an ejection in the view ends.
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
    void noteExpiry(Service &service, SteadyTime now);
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
    /// When expired instances can be forgotten, in order of expiry.
    std::deque<std::pair<SteadyTime, InstanceKey>> expired;
    Digests bucketDigests = {};
    std::vector<InstanceListener> instanceListeners;
    std::vector<EjectionListener> ejectionListeners;
    std::vector<PoisonListener> poisonListeners;
};

} // namespace Hyssophall
