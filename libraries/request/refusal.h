#pragma once

#include <chrono>
#include <string_view>

namespace Hyssophall {

/// Why the fleet refuses a request, that is, responds with an error of its own in place of an upstream's response.
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
    /// No connection to an instance could be established.
    InstanceUnreachable,
    UpstreamFailed,
    AnswerIncomplete,
};

/// Whether an upstream may have run the request.
enum class RequestOutcome {
    /// It is proven that no upstream ran the request.
    NotRun,
    /// A byte of the request may have reached an upstream, and no complete response was received.
    Unknown,
};

/// The refusal of one request, as reported to the caller and to telemetry.
struct Refusal {
    RefusalCode code;
    RequestOutcome outcome = RequestOutcome::NotRun;
    /// Zero: no Retry-After header.
    std::chrono::milliseconds retryAfter{0};
};

/// The name of a code in the Hyssophall-Refusal header, the JSON body and metrics.
std::string_view refusalName(RefusalCode code);

/// The HTTP status of the response for a code.
int refusalStatus(RefusalCode code);

/// The name of an outcome in the Hyssophall-Outcome header, the JSON body and metrics.
std::string_view outcomeName(RequestOutcome outcome);

} // namespace Hyssophall
