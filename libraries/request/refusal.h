#pragma once

#include <chrono>
#include <string_view>

namespace Hyssophall {

/// Why the fleet answers a request itself in place of an upstream's answer.
enum class RefusalCode {
    KeyMissing,
    KeyUnknown,
    RouteUnknown,
    RouteForbidden,
    RateLimited,
    LimitUnavailable,
    VmIsolated,
    Overloaded,
    NoInstance,
    ShuttingDown,
    RequestTooLarge,
    MalformedRequest,
    ClaimUnavailable,
    ClaimInProgress,
    IdempotencyKeyReused,
    PoisonRequest,
    DeadlineExceeded,
    UpstreamFailed,
    AnswerIncomplete,
};

/// Whether an upstream may have run the request.
enum class RequestOutcome {
    /// Proven: no upstream ran it.
    NotRun,
    /// A byte may have reached an upstream and no whole answer came back.
    Unknown,
};

/// A typed refusal of one request.
struct Refusal {
    RefusalCode code;
    RequestOutcome outcome = RequestOutcome::NotRun;
    /// Zero: no Retry-After header.
    std::chrono::milliseconds retryAfter{0};
};

/// The machine-readable name of a code, as in the header Hyssophall-Refusal.
std::string_view refusalName(RefusalCode code);

/// The HTTP status that goes with a code.
int refusalStatus(RefusalCode code);

/// The name of an outcome, as in the header Hyssophall-Outcome.
std::string_view outcomeName(RequestOutcome outcome);

} // namespace Hyssophall
