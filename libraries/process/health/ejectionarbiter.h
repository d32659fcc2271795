#pragma once

#include "fleet.pb.h"
#include "process/fleet/instancedirectory.h"
#include "process/hooks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hyssophall {

namespace FleetMessages = hyssophall::fleet::v1;

/// Minimum number of a service's instances that ejections must leave in service: the larger of a share and a count.
struct CapacityFloor {
    /// Share of the known instances, in thousandths.
    std::uint32_t perMille = 0;
    std::uint32_t count = 0;

    /// Number of instances that must stay in service out of @p known ones.
    std::size_t instancesOf(std::size_t known) const;
};

/**
 * Decides for the whole fleet which instances of one service are ejected; runs on the VM that holds the lease of the service's shard.
 *
 * There is a single arbiter because VMs that ejected instances independently could together go below the capacity floor. Not thread-safe.
 */
class EjectionArbiter
{
public:
    /// Validity of an ejection record. The arbiter renews it while the ejection lasts, so the records of a lost arbiter expire.
    static constexpr std::chrono::seconds recordLifetime{10};
    /// Time after its start in which an arbiter ejects nothing. All records of its predecessor expire meanwhile, so it can't miss one of them and
    /// go below the floor.
    static constexpr std::chrono::seconds quietPeriod{12};
    static constexpr std::chrono::seconds initialEjectionTime{5};
    static constexpr std::chrono::seconds maximumEjectionTime{60};

    /// @p epoch is the epoch of the shard's lease.
    EjectionArbiter(std::string service, std::uint64_t epoch, SteadyTime startedAt);

    std::uint64_t epoch() const;

    /// Adds the counts that the VM @p member collected since its last report. Counts of an older incarnation of an instance are ignored.
    void report(const std::string &member, const std::vector<FleetMessages::OutcomeCounts> &counts, SteadyTime now);

    /// Decides by the counts so far, at regular intervals. Returns the ejection records to publish: new ones, renewals, and ended ones, which
    /// have a remaining time of zero.
    std::vector<FleetMessages::Ejection> decide(const InstanceDirectory::Instances &instances, const CapacityFloor &floor, SteadyTime now);

private:
    struct Evidence {
        std::uint64_t incarnation = 0;
        double good = 0;
        double bad = 0;
        SteadyTime decayedAt;
        /// Counts since the last decision. All other counts decay.
        double newGood = 0;
        double newBad = 0;
        /// Cumulative log-likelihood ratio of "bad" against "normal", the statistic of a CUSUM test; never below zero.
        double logLikelihoodRatio = 0;
        /// Time of the last report of each VM, and of its last report with a failure share above normal.
        std::map<std::string, SteadyTime> reporters;
        std::map<std::string, SteadyTime> failureReporters;
        SteadyTime ejectedUntil{};
        SteadyTime renewAt{};
        std::chrono::seconds nextEjectionTime{initialEjectionTime};
        SteadyTime lastEjectionEnd{};
        bool ejected = false;
    };

    static void decay(Evidence &evidence, SteadyTime now);
    double medianBadShare(const InstanceDirectory::Instances &instances) const;
    void updateLogLikelihoodRatios(const InstanceDirectory::Instances &instances);
    static bool isBad(const Evidence &evidence, SteadyTime now);
    void endOrRenewEjection(const std::string &instance, Evidence &evidence, SteadyTime now, std::vector<FleetMessages::Ejection> &records);
    FleetMessages::Ejection createRecord(const std::string &instance, const Evidence &evidence, std::chrono::milliseconds remaining);

    const std::string service;
    const std::uint64_t leaseEpoch;
    const SteadyTime startedAt;
    std::uint64_t sequence = 0;
    std::map<std::string, Evidence> evidenceByInstance;
};

} // namespace Hyssophall
