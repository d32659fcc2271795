#pragma once

#include "process/health/instancehealth.h"
#include "process/health/instancescore.h"
#include "process/health/pendingtries.h"
#include "process/health/poisonlist.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Hyssophall {

namespace FleetMessages = hyssophall::fleet::v1;

/**
 * Chooses instances by the outcomes of this VM's own tries, and collects the counts that the ejection arbiters decide by.
 *
 * Thread-safe.
 */
class HealthMonitor : public InstanceHealth
{
public:
    struct Options {
        /// Failure domain of this VM, preferred between instances of equal cost.
        std::string failureDomain;
        SteadyClock clock;
        RandomSource random;
        /// Reports to the owner of the fingerprint's shard that an instance's connection was lost during the request. Blocks until the owner
        /// replies or a short timeout ends; see HealthNode::reportCrash().
        std::function<void(std::uint64_t fingerprint, const std::string &instance)> reportCrash;
    };

    /// Outcomes of one service since its last report.
    struct ServiceReport {
        std::string service;
        std::vector<FleetMessages::OutcomeCounts> counts;
        /// Whether some instance has so many bad outcomes that the report should reach the arbiter soon.
        bool suspicious = false;
    };

    /// @p directory outlives the monitor.
    HealthMonitor(Options options, const InstanceDirectory &directory);

    std::optional<FleetMessages::Instance> choose(const InstanceQuery &query) override;
    void finish(const FleetMessages::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint) override;
    bool isPoison(std::uint64_t fingerprint) const override;

    /// Refuses the request with this fingerprint for @p remaining. Called with the owner's reply and with records from gossip.
    void markPoison(std::uint64_t fingerprint, std::chrono::milliseconds remaining);

    /// Returns and resets the counts of each service for which @p isDue returns true, and keeps those of the others. Also counts lost connections
    /// whose request wasn't found to be poison in time, and removes expired state. Called by the HealthNode at regular intervals.
    std::vector<ServiceReport> collect(const std::function<bool(const std::string &service, bool suspicious)> &isDue);

private:
    struct InstanceStatistics {
        explicit InstanceStatistics(SteadyTime firstSeen);

        std::uint64_t incarnation = 0;
        InstanceScore score;
        PendingTries pending;
        FleetMessages::OutcomeCounts counts;
        bool wasEjected = false;
    };

    /// A lost connection that isn't counted against the instance yet, since its request may turn out to be poison.
    struct PendingCrash {
        std::string service;
        std::string instance;
        std::uint64_t incarnation;
        std::uint64_t fingerprint;
        /// Time at which it is counted, unless its request is poison.
        SteadyTime countAt;
    };

    using ServiceStatistics = std::map<std::string, InstanceStatistics>;

    /// Returns the statistics of a service's instances, after adding those of @p known that are new.
    ServiceStatistics &statisticsOfService(const std::string &service, const InstanceDirectory::Instances &known, SteadyTime now);
    /// Returns the statistics of an instance, which start anew with each incarnation.
    static InstanceStatistics &statisticsOf(ServiceStatistics &service, const FleetMessages::Instance &instance, SteadyTime firstSeen);
    std::vector<const KnownInstance *> candidates(const InstanceDirectory::Instances &instances, const std::set<std::string> &tried, bool withEjected) const;
    const KnownInstance *withLowerCost(ServiceStatistics &service, const KnownInstance *left, const KnownInstance *right, SteadyTime now);
    std::size_t randomIndex(std::size_t count) const;
    std::chrono::microseconds slowThreshold(const ServiceStatistics &service) const;
    void countOutcome(InstanceStatistics &statistics, const ServiceStatistics &service, TryOutcome outcome, std::chrono::microseconds latency, SteadyTime now);
    void countOverdue(ServiceStatistics &service, SteadyTime now) const;
    void countPendingCrashes(SteadyTime now);
    void removeGoneInstances(const std::string &service, ServiceStatistics &statistics) const;
    static bool isSuspicious(const InstanceStatistics &statistics);

    const Options options;
    const InstanceDirectory &directory;
    mutable std::mutex mutex;
    std::map<std::string, ServiceStatistics> services;
    PoisonList poison;
    std::deque<PendingCrash> pendingCrashes;
};

} // namespace Hyssophall
