#pragma once

#include "connection/upstreamsender.h"
#include "process/health/instancehealth.h"
#include "process/proxy/admission.h"
#include "request/retrylimiter.h"
#include "request/tryclassification.h"

#include <atomic>
#include <optional>
#include <set>

namespace Hyssophall {

/// Result of all tries of one request.
struct TriesResult {
    CallerResponse response;
    /// False only if it is proven that no upstream ran the request.
    bool mayHaveRun = false;
    /// False only if no byte of the request was sent to any upstream.
    bool mayHaveSent = false;
    /// What the last try says about the load of the service.
    CapacitySignal capacitySignal = CapacitySignal::Neutral;
    /// Duration of the last try.
    std::chrono::microseconds lastLatency{0};
};

/// Sends a request to instances of its service, one after the other, until one responds or no further retry is allowed. Thread-safe.
class UpstreamTries
{
public:
    UpstreamTries(const Admission &admission, InstanceHealth &health, UpstreamSender &sender, RetryLimiter &budget, SteadyClock clock, RandomSource random);

    TriesResult run(const RequestContext &context, RequestRecord &record);

    /// From now on no try is aborted in favour of a retry: the time until the end of the process may be too short for another one.
    void beginShutdown();

private:
    struct State {
        /// Ids of the instances that were tried and aren't chosen again.
        std::set<std::string> triedInstances;
        /// Number of tries of which a byte may have reached an instance.
        int sent = 0;
        /// Number of tries that reached no instance.
        int unsent = 0;
        /// Number of tries whose connection was lost after the request was sent.
        int lostConnections = 0;
        TriesResult result;
        /// Set if the check before sending refused the last try.
        std::optional<Refusal> preSendRefusal;
        /// The instance for the next try, for which the retry budget was charged when the last try was aborted in its favour.
        std::optional<hyssophall::fleet::v1::Instance> reserved;
        /// False once the request has its final result.
        bool mayContinue = true;
    };

    void tryOnce(const RequestContext &context, const hyssophall::fleet::v1::Instance &instance, RequestRecord &record, State &state);
    /// Reports what an instance says about itself in its response.
    void reportNotice(const hyssophall::fleet::v1::Instance &instance, const UpstreamResult &result, TryOutcome outcome);
    void evaluateTry(const RequestContext &context, RequestRecord &record, const UpstreamResult &result, const TryClassification &classification, State &state);
    /// If instances of the service have sent Retry-After and no other is left, refuses the request until the first of these times is over.
    void refuseUntilBackoffEnds(const RequestContext &context, State &state) const;
    InstanceQuery createQuery(const RequestContext &context, const State &state) const;
    /// Takes the reserved instance, or chooses one.
    std::optional<hyssophall::fleet::v1::Instance> nextInstance(const RequestContext &context, State &state);
    /// Reserves an instance and a retry for a request whose try lasts unusually long. False if no retry can follow, so the try must go on.
    bool reserveRetry(const RequestContext &context, State &state);
    /// True if the next try of this request can be followed by a retry: the request is idempotent, and neither its route's limit of attempts nor
    /// TryClassification::maximumRetries will be reached.
    static bool mayRetry(const RequestContext &context, const State &state);
    std::optional<SteadyTime> tryDeadline(const RequestContext &context, SteadyTime now) const;
    bool mayBePoison(const RequestContext &context, const State &state) const;
    UpstreamCall createCall(
        const RequestContext &context, const hyssophall::fleet::v1::Instance &instance, const RequestRecord &record, const std::string &spanId, State &state);

    const Admission &admission;
    InstanceHealth &health;
    UpstreamSender &sender;
    RetryLimiter &budget;
    const SteadyClock clock;
    const RandomSource random;
    std::atomic<bool> shuttingDown{false};
};

} // namespace Hyssophall
