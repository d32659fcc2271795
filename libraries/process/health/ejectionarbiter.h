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

/// Smallest capacity of a service that ejections must leave.
struct CapacityFloor {
    std::uint32_t perMille = 0;
    std::uint32_t count = 0;

    /// Instances that must stay in service out of @p known.
    std::size_t instancesOf(std::size_t known) const;
};

/**
 * Decides the ejections of one service for the whole fleet; runs on the VM that holds the service's shard.
 *
 * Single arbiter, since VMs that ejected instances independently would together go below the floor. Not thread-safe.
 */
class EjectionArbiter
{
public:
    /// An ejection record is valid this long and is renewed while the ejection goes on, so that the records of a lost arbiter run out.
    static constexpr std::chrono::seconds recordLifetime{10};
    /// A new arbiter ejects nothing before all records of its predecessor have run out, so that it can't overlook one and break the floor.
    static constexpr std::chrono::seconds quietPeriod{12};
    static constexpr std::chrono::seconds firstEjection{5};
    static constexpr std::chrono::seconds longestEjection{60};

    EjectionArbiter(std::string service, std::uint64_t epoch, SteadyTime startedAt);

    std::uint64_t epoch() const;

    /// Takes the counts that one VM collected since its last report.
    void report(const std::string &member, const std::vector<FleetMessages::OutcomeCounts> &counts, SteadyTime now);

    /// Decides; returns the ejection records to spread: new ones, renewals, and ends with no time remaining.
    std::vector<FleetMessages::Ejection> decide(const InstanceDirectory::Instances &instances, const CapacityFloor &floor, SteadyTime now);

private:
    struct Evidence {
        std::uint64_t incarnation = 0;
        double good = 0;
        double bad = 0;
        SteadyTime decayedAt;
        /// Counts since the last decision.
        double newGood = 0;
        double newBad = 0;
        /// Cumulative log-likelihood ratio of "bad" against "normal"; never below zero.
        double suspicion = 0;
        /// When each VM last reported this instance, and last as worse than normal.
        std::map<std::string, SteadyTime> reporters;
        std::map<std::string, SteadyTime> accusers;
        SteadyTime ejectedUntil{};
        SteadyTime renewAt{};
        std::chrono::seconds nextEjection{firstEjection};
        SteadyTime lastEjectionEnd{};
        bool ejected = false;
    };

    static void decay(Evidence &evidence, SteadyTime now);
    double medianBadShare(const InstanceDirectory::Instances &instances) const;
    void weighEvidence(const InstanceDirectory::Instances &instances);
    static bool isBad(const Evidence &evidence, SteadyTime now);
    void endOrRenew(const std::string &instance, Evidence &evidence, SteadyTime now, std::vector<FleetMessages::Ejection> &records);
    FleetMessages::Ejection record(const std::string &instance, const Evidence &evidence, std::chrono::milliseconds remaining);

    const std::string service;
    const std::uint64_t leaseEpoch;
    const SteadyTime startedAt;
    std::uint64_t sequence = 0;
    std::map<std::string, Evidence> evidences;
};

} // namespace Hyssophall
