#pragma once

#include "process/health/grayestimate.h"
#include "process/health/idleinstances.h"
#include "process/health/inflightrequests.h"
#include "process/health/instancequery.h"
#include "process/health/instancerestrictions.h"
#include "process/hooks.h"
#include "process/relay/instancetable.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Tracks the state of all instances from the outcomes that the VMs report, and chooses an instance for each request.
 *
 * The choice takes the instance with the lowest expected cost, where 1 is the cost of a failed request. The cost consists of the probability
 * that the instance is gray, the wait behind the requests in flight there, and the transfer to another failure domain. A failed try costs
 * little while the request may be retried, so first tries also probe instances whose state is uncertain. While many requests for a service
 * aren't served, each of its instances that hasn't just failed gets a request from time to time, whatever its cost, since an instance without requests
 * is never found to work again. Not thread-safe.
 */
class InstanceSelector
{
public:
    /// A change, caused by an outcome, of whether an instance is assumed to be gray; for the log.
    struct GrayStateChange {
        std::string instance;
        std::string service;
        /// The new assumption.
        bool isGray = false;
        /// Estimated probability that the instance is gray, from 0 to 1.
        double probability = 0;
        std::size_t inFlight = 0;
    };

    struct Options {
        std::string ownFailureDomain;
        /// Cost of a request to another failure domain, and of each kilobyte of the request and its response. 1 is the cost of a failed request.
        double crossDomainCost = 0.02;
        double crossDomainCostOfKilobyte = 0.02;
        GrayEstimate::Model model;
        RandomSource random;
        /// Called when an outcome changes whether an instance is assumed to be gray; may be empty.
        std::function<void(const GrayStateChange &)> grayStateChanged;
    };

    explicit InstanceSelector(Options options);

    /// Applies a registration and returns those that changed; see InstanceTable::apply().
    std::vector<RelayMessages::Registration> apply(const RelayMessages::Registration &registration);

    /// Adds the outcomes of tries of other VMs on one instance. Outcomes of unknown instances are ignored.
    void apply(const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now);

    /// Adds the outcomes of this VM's own tries.
    void applyOwn(const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now);

    /// Number of tries that ended.
    static std::uint32_t endedCount(const RelayMessages::InstanceOutcomes &outcomes);

    /// A limit in requests per second in the unit of InstanceOutcomes: at least 1, and 0 for none.
    static std::uint32_t limitThousandths(std::optional<double> requestsPerSecond);

    /// Sets the limit that an instance names in a response to this VM, or that it names none. Returns whether this VM knew another one.
    bool setLimit(std::uint32_t handle, std::optional<double> requestsPerSecond, SteadyTime now);

    /// The instance wants no requests of this VM for this long. Returns whether it had no backoff in force; false for an unknown instance.
    bool addBackoff(std::uint32_t handle, std::chrono::milliseconds duration, SteadyTime now);

    /// The instance has told this VM that it is leaving. Returns whether it hadn't said so before; false for an unknown instance.
    bool setLeaving(std::uint32_t handle);

    /// Whether the instance takes requests of this VM now, apart from its limit over all VMs, in which the VM that chose the instance has counted the
    /// request. False for one that isn't registered or is leaving.
    bool takesRequests(const std::string &instanceId, SteadyTime now) const;

    /// Time until the first backoff of an instance of the service ends; nothing if none of them has one.
    std::optional<std::chrono::milliseconds> shortestBackoff(const std::string &service, SteadyTime now) const;

    /// Sets the share of the fleet's VMs whose outcomes arrive here. When it falls, the requests in flight of other VMs are no longer counted,
    /// since the end of some of them would never be reported.
    void setVisibleShare(double share);

    /// Adds how many requests for a service were served and not served, on this VM or another one.
    void apply(const RelayMessages::ServiceUse &use, SteadyTime now);

    /// Must be called when this VM begins to connect to a relay, whose summaries follow. Requests that it started before have been reported to another relay;
    /// the new one counts them already, or will be told of them and tell this VM.
    void beginConnection();

    /// Applies the state of one instance that a relay sends when this VM connects. Once this VM has outcomes of that instance, only the requests
    /// in flight are taken from it.
    void apply(const RelayMessages::InstanceSummary &summary, SteadyTime now);

    /// State of each registered instance, which a relay sends to a VM that connects.
    std::vector<RelayMessages::InstanceSummary> summaries(SteadyTime now) const;

    /// Chooses an instance for a request whose response usually has @p responseBytes; nothing when every ready instance was tried or is full.
    /// The caller reports the started request through apply().
    std::optional<RelayMessages::Registration> choose(const InstanceQuery &query, std::size_t responseBytes, SteadyTime now);

    /// State of an instance for the log: "gray=0.04 in_flight=1 own_in_flight=1 success_age_ms=120 failure_age_ms=-1". The requests of all VMs are
    /// in_flight. A limit that the instance names follows as "limit=3.600000". An age of -1 means never; an unknown instance gives "gone".
    std::string describeInstance(const std::string &instanceId, SteadyTime now) const;

    /// Instances of a service that are left without requests while over a tenth of its requests aren't served, at most once a second for each service;
    /// nothing otherwise.
    std::optional<IdleInstances> takeIdleInstances(const std::string &service, SteadyTime now);

    /// Makes an instance that counted as unreachable eligible again, since the path of this VM was the cause.
    void forgetUnreachable(std::uint32_t handle);

    /// Whether a request of any VM on this instance has succeeded since @p time.
    bool hasSucceededSince(std::uint32_t handle, SteadyTime time) const;

    const InstanceTable &table() const;

private:
    /// How long after the connection to a relay that one is told of starts that were reported to the former relay, which holds them back for 150 ms; the rest
    /// allows for a busy relay.
    static constexpr std::chrono::milliseconds maximumStartDelay{400};

    struct InstanceState {
        std::string id;
        GrayEstimate gray;
        /// Requests in flight of this VM, and those that other VMs reported.
        InFlightRequests ownRequests;
        InFlightRequests otherRequests;
        /// Requests of this VM that were in flight when it began to connect.
        std::optional<std::size_t> ownAtConnection;
        InstanceRestrictions restrictions;
        bool isAssumedGray = false;
        std::optional<SteadyTime> lastSuccess;
        /// Last failure that was reported or that a hanging request counts as, and the last one of a hanging request.
        std::optional<SteadyTime> lastFailure;
        std::optional<SteadyTime> lastHang;
        std::optional<SteadyTime> lastStart;
        SteadyTime unreachableUntil;
        std::chrono::milliseconds unreachableBackoff{0};
        SteadyTime fullUntil;
        /// Exponentially weighted mean latency of the successes; zero before the first.
        std::chrono::duration<double, std::milli> latency{0};

        std::size_t inFlight() const
        {
            return this->ownRequests.count() + this->otherRequests.count();
        }
    };

    struct Service {
        std::chrono::duration<double, std::milli> latency{0};
        /// Requests that weren't served and all that ended; both decay exponentially.
        double unserved = 0;
        double ended = 0;
        SteadyTime decayedAt;
        SteadyTime idleReportedAt;
    };

    struct Candidate {
        const RelayMessages::Registration *registration = nullptr;
        InstanceState *state = nullptr;
        double cost = 0;
    };

    /// Costs of one request that enter into the choice; 1 is the cost of a failed request that can't be retried.
    struct RequestCosts {
        double failure = 1;
        double crossDomain = 0;
        /// Failure domain from which the request reaches the instance.
        std::string failureDomain;
    };

    void applyTo(InstanceState &state, InFlightRequests &requests, const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now);
    RequestCosts requestCosts(const InstanceQuery &query, std::size_t responseBytes) const;
    /// State of a registered instance, or nullptr.
    InstanceState *findState(std::uint32_t handle);
    void updateGrayState(InstanceState &state, const std::string &service, SteadyTime now) const;
    void countHangingRequests(InstanceState &state, Service &service, SteadyTime now);
    double costOf(
        const RelayMessages::Registration &registration, const InstanceState &state, const Service &service, const RequestCosts &costs, SteadyTime now) const;
    Candidate cheapest(std::vector<Candidate> &candidates);
    /// Choice of a VM that receives no outcomes of other VMs. It is mostly random: VMs that were disconnected together share the same last
    /// outcomes, so they would all choose the same instances by cost.
    Candidate chooseWithoutFleetOutcomes(std::vector<Candidate> &candidates, const RequestCosts &costs, SteadyTime now);
    /// While many requests for the service aren't served, chooses for some of its requests an instance that got none for a while. Nothing otherwise.
    std::optional<Candidate> chooseIdle(const std::vector<Candidate> &candidates, const Service &service, const RequestCosts &costs, SteadyTime now);
    static bool isFull(const RelayMessages::Registration &registration, const InstanceState &state);
    /// Time after which a request counts as hanging.
    static std::chrono::duration<double, std::milli> hangTimeout(const Service &service);
    /// Whether no request of any VM was started on the instance for this long.
    static bool isIdle(const InstanceState &state, std::chrono::duration<double, std::milli> time, SteadyTime now);
    static bool hasFailedRecently(const InstanceState &state, SteadyTime now);
    /// Counts an idle instance for the reason that excludes it, and returns whether nothing does.
    bool countIdle(const RelayMessages::Registration &registration, const InstanceState &state, IdleInstances &counts, SteadyTime now) const;
    static void decay(Service &service, SteadyTime now);

    const Options options;
    InstanceTable instances;
    std::map<std::uint32_t, InstanceState> states;
    std::map<std::string, Service> services;
    /// Share of the fleet's VMs whose requests in flight are counted.
    double countedShare = 0;
    /// Share of the fleet's VMs that is visible at present.
    double visibleShare = 1;
};

} // namespace Hyssophall
