#pragma once

#include "connection/upstreamresult.h"
#include "process/health/instancehealth.h"
#include "process/limits/capacityqueue.h"
#include "request/refusal.h"

namespace Hyssophall {

/// Classifies the result of one try: what it means for the request, for the health of the instance and for the load of the service.
class TryClassification
{
public:
    /// Retries of one request after tries that may have reached an instance.
    static constexpr int maximumRetries = 2;

    /// @p notRunHeader is the name of the header by which an instance states that it didn't run a request, see HeaderNames::notRun.
    explicit TryClassification(const UpstreamResult &result, const std::string &notRunHeader = "Hyssophall-Not-Run");

    /// True if the instance sent a response that can be forwarded to the caller if no retry follows.
    bool isForwardable() const;

    /// True if it is proven that the instance didn't run the request.
    bool isProvenNotRun() const;

    /// Whether the result and the route's class allow a retry. The caller also checks deadline, retry budget and the route's limit of attempts.
    bool allowsRetry(bool idempotent, int retriesSoFar) const;

    TryOutcome outcome() const;
    CapacitySignal capacitySignal() const;

    /// The refusal for a try without a response to forward. @p provenNotRun is true if it is proven that none of the request's tries ran the request.
    Refusal refusal(bool provenNotRun) const;

private:
    bool forwardable = false;
    bool provenNotRun = false;
    bool retryable = true;
    TryOutcome outcomeOfTry = TryOutcome::Neutral;
    RefusalCode refusalCode = RefusalCode::UpstreamFailed;
};

} // namespace Hyssophall
