#pragma once

#include "process/health/grayestimate.h"
#include "process/health/instancequery.h"
#include "process/hooks.h"
#include "process/relay/instancetable.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * What all VMs' requests tell about the instances, and the choice of an instance for the next request.
 *
 * The choice takes the instance with the lowest expected cost, in parts of a failed request: the chance that it is gray, the wait behind the
 * requests that are in flight there, and the bytes to another failure domain. A request that may be tried again risks little with its first
 * tries, so these also show which instances are sound. A service that fails much work is spread over more
 * instances, since nobody knows the sound ones among those that get no requests. Not thread-safe.
 */
class OutcomeBoard
{
public:
    /// An outcome that changed whether an instance is taken for gray.
    struct Suspicion {
        std::string instance;
        std::string service;
        /// Whether the instance is taken for gray from now on.
        bool isGray = false;
        double probability = 0;
        std::size_t inFlight = 0;
    };

    struct Options {
        std::string ownFailureDomain;
        /// What a request to another failure domain costs, and each kilobyte of it and its answer, in parts of a failed request.
        double crossDomainCost = 0.02;
        double crossDomainCostOfKilobyte = 0.02;
        GrayEstimate::Model model;
        RandomSource random;
        /// Told of each change of belief; may be empty.
        std::function<void(const Suspicion &)> suspicionChanged;
    };

    explicit OutcomeBoard(Options options);

    /// Takes a registration; see InstanceTable::apply().
    std::vector<RelayMessages::Registration> take(const RelayMessages::Registration &registration);

    /// Takes counts of this VM or of others.
    void apply(const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now);

    /// Takes how requests for a service ended, on this VM or on others.
    void apply(const RelayMessages::ServiceUse &use, SteadyTime now);

    /// Takes what a relay knew when this VM connected to it.
    void apply(const RelayMessages::InstanceSummary &summary, SteadyTime now);

    /// What is known of each instance that isn't gone, for a VM that connects.
    std::vector<RelayMessages::InstanceSummary> summaries(SteadyTime now) const;

    /// Chooses an instance for a request whose answer usually has @p answerBytes; nothing when none can take it. The choice isn't counted yet.
    std::optional<RelayMessages::Registration> choose(const InstanceQuery &query, std::size_t answerBytes, SteadyTime now);

    /// What spoke for and against an instance, for the log: "gray=0.04 in_flight=1 success_age_ms=120 failure_age_ms=-1".
    std::string explain(const std::string &instanceId, SteadyTime now) const;

    const InstanceTable &table() const;

private:
    struct Life {
        std::string id;
        GrayEstimate gray;
        /// Starts of the requests in flight, oldest first.
        std::deque<SteadyTime> starts;
        bool isSuspected = false;
        std::optional<SteadyTime> success;
        std::optional<SteadyTime> failure;
        std::optional<SteadyTime> lastStart;
        SteadyTime unreachableUntil;
        std::chrono::milliseconds unreachableHold{0};
        SteadyTime fullUntil;
        /// Mean latency of the successes, newest counted most; zero before the first.
        std::chrono::duration<double, std::milli> latency{0};
        /// Requests in flight that already counted as failures since they take too long.
        std::size_t hanging = 0;
    };

    struct Service {
        std::chrono::duration<double, std::milli> latency{0};
        /// Requests that weren't served and all that ended, fading with time.
        double unserved = 0;
        double ended = 0;
        SteadyTime faded;
    };

    struct Candidate {
        const RelayMessages::Registration *registration = nullptr;
        Life *life = nullptr;
        double cost = 0;
    };

    /// What a request loses by the choice of an instance, in parts of a failed request.
    struct Stakes {
        double failure = 1;
        double crossing = 0;
    };

    Stakes stakesOf(const InstanceQuery &query, std::size_t answerBytes) const;
    void noteSuspicion(Life &life, const std::string &service, SteadyTime now) const;
    void countHanging(Life &life, Service &service, SteadyTime now);
    double costOf(const RelayMessages::Registration &registration, const Life &life, const Service &service, const Stakes &stakes, SteadyTime now) const;
    Candidate cheapest(std::vector<Candidate> &candidates);
    /// For a VM that hears of no other VMs' requests. What it heard last is what all others heard, so that they would all choose the same.
    Candidate anySound(std::vector<Candidate> &candidates, const Stakes &stakes, SteadyTime now);
    Candidate leastUsed(std::vector<Candidate> &candidates, SteadyTime now);
    bool needsSpreading(const std::vector<Candidate> &candidates, const Service &service, SteadyTime now) const;
    static bool isInUse(const Life &life, SteadyTime now);
    static void fade(Service &service, SteadyTime now);

    const Options options;
    InstanceTable instances;
    std::map<std::uint32_t, Life> lives;
    std::map<std::string, Service> services;
};

} // namespace Hyssophall
