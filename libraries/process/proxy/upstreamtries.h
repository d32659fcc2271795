#pragma once

#include "connection/upstreamsender.h"
#include "process/health/instancehealth.h"
#include "process/proxy/admission.h"
#include "request/retrylimiter.h"
#include "request/tryclassification.h"

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
    /// True if the next try of this request can be followed by a retry: the request is idempotent, and neither its route's limit of attempts nor
    /// TryClassification::maximumRetries will be reached.
    static bool mayRetry(const RequestContext &context, const State &state);
    std::optional<SteadyTime> tryDeadline(const RequestContext &context, SteadyTime now) const;
    bool mayBePoison(const RequestContext &context, const State &state) const;
    UpstreamCall createCall(const RequestContext &context,
        const hyssophall::fleet::v1::Instance &instance,
        const RequestRecord &record,
        const std::string &spanId,
        State &state) const;

    const Admission &admission;
    InstanceHealth &health;
    UpstreamSender &sender;
    RetryLimiter &budget;
    const SteadyClock clock;
    const RandomSource random;
};

} // namespace Hyssophall
