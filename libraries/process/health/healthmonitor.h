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

/// Chooses instances by what this VM has seen of them, and collects the outcomes that the arbiters judge by. Thread-safe.
class HealthMonitor : public InstanceHealth
{
public:
    struct Options {
        /// Failure domain of this VM, preferred between instances of equal cost.
        std::string failureDomain;
        SteadyClock clock;
        RandomSource random;
        /// Tells the owner of a fingerprint that an instance was lost while it ran the request, and waits shortly for its answer.
        std::function<void(std::uint64_t fingerprint, const std::string &instance)> reportCrash;
    };

    /// Outcomes of one service since the last collection.
    struct ServiceReport {
        std::string service;
        std::vector<FleetMessages::OutcomeCounts> counts;
        /// Some instance looks worse than the rest, so the report should reach the arbiter soon.
        bool suspicious = false;
    };

    /// @p directory outlives the monitor.
    HealthMonitor(Options options, const InstanceDirectory &directory);

    std::optional<FleetMessages::Instance> choose(const InstanceQuery &query) override;
    void finish(const FleetMessages::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint) override;
    bool isPoison(std::uint64_t fingerprint) const override;

    /// Takes a poison record, from the owner's answer or from gossip.
    void markPoison(std::uint64_t fingerprint, std::chrono::milliseconds remaining);

    /// Settles crashes whose request wasn't found to be poison in time, forgets old state, and hands out the counts collected so far.
    /// @p isDue says for each service whether its report goes out now; the counts of the others are kept.
    std::vector<ServiceReport> collect(const std::function<bool(const std::string &service, bool suspicious)> &isDue);

private:
    struct Seen {
        explicit Seen(SteadyTime firstSeen);

        std::uint64_t incarnation = 0;
        InstanceScore score;
        PendingTries pending;
        FleetMessages::OutcomeCounts counts;
        bool wasEjected = false;
    };

    /// A crash-like failure, held back until it is known whether the request is to blame.
    struct HeldCrash {
        std::string service;
        std::string instance;
        std::uint64_t incarnation;
        std::uint64_t fingerprint;
        SteadyTime settleAt;
    };

    using SeenInstances = std::map<std::string, Seen>;

    /// The instances seen of a service, with those of @p known that are new to it.
    SeenInstances &seenOfService(const std::string &service, const InstanceDirectory::Instances &known, SteadyTime now);
    static Seen &seenOf(SeenInstances &service, const FleetMessages::Instance &instance, SteadyTime firstSeen);
    std::vector<const KnownInstance *> candidates(const InstanceDirectory::Instances &instances, const std::set<std::string> &tried, bool withEjected) const;
    const KnownInstance *better(SeenInstances &service, const KnownInstance *left, const KnownInstance *right, SteadyTime now);
    std::size_t draw(std::size_t count) const;
    std::chrono::microseconds slowThreshold(const SeenInstances &service) const;
    void count(Seen &seen, const SeenInstances &service, TryOutcome outcome, std::chrono::microseconds latency, SteadyTime now);
    void countOverdue(SeenInstances &service, SteadyTime now) const;
    void settleCrashes(SteadyTime now);
    void forgetGone(const std::string &service, SeenInstances &seen) const;
    static bool isSuspicious(const Seen &seen);

    const Options options;
    const InstanceDirectory &directory;
    mutable std::mutex mutex;
    std::map<std::string, SeenInstances> services;
    PoisonList poison;
    std::deque<HeldCrash> heldCrashes;
};

} // namespace Hyssophall
