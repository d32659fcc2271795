#pragma once

#include "connection/upstreamresult.h"
#include "process/health/instancehealth.h"
#include "process/limits/capacityqueue.h"
#include "request/refusal.h"

namespace Hyssophall {

/// What the result of one try means for the request, its instance and its service. Pure.
class TryVerdict
{
public:
    static constexpr int maximumRetries = 2;

    /// @p notRunHeader is the name of the header by which an instance proves that a request didn't run.
    explicit TryVerdict(const UpstreamResult &result, const std::string &notRunHeader = "Hyssophall-Not-Run");

    /// True when the try's answer goes to the caller unless a retry follows.
    bool isAnswer() const;

    /// True when it is proven that this try ran nothing.
    bool isProvenNotRun() const;

    /// Whether the request may be tried again, as far as the try and its route decide.
    bool mayRetry(bool idempotent, int retriesSoFar) const;

    TryOutcome outcome() const;
    CapacitySignal capacitySignal() const;

    /// The refusal for a try without an answer. @p provenNotRun covers all tries of the request.
    Refusal refusal(bool provenNotRun) const;

private:
    bool answered = false;
    bool provenNotRun = false;
    bool worthRetry = true;
    TryOutcome tryOutcome = TryOutcome::Neutral;
    RefusalCode refusalCode = RefusalCode::UpstreamFailed;
};

} // namespace Hyssophall
