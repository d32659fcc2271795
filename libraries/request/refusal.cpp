#include "request/refusal.h"

#include <array>
#include <cstddef>

namespace Hyssophall {

namespace {

struct RefusalRow {
    std::string_view name;
    int status;
};

// In the order of RefusalCode.
constexpr std::array<RefusalRow, 20> refusalRows{{
    {"key_missing", 401},
    {"key_unknown", 401},
    {"route_unknown", 404},
    {"route_forbidden", 403},
    {"rate_limited", 429},
    {"limit_unavailable", 503},
    {"vm_isolated", 503},
    {"overloaded", 503},
    {"no_instance", 503},
    {"shutting_down", 503},
    {"request_too_large", 413},
    {"malformed_request", 400},
    {"claim_unavailable", 503},
    {"claim_in_progress", 409},
    {"idempotency_key_reused", 422},
    {"poison_request", 422},
    {"deadline_exceeded", 504},
    {"instance_unreachable", 503},
    {"upstream_failed", 502},
    {"answer_incomplete", 502},
}};

static_assert(refusalRows.size() == static_cast<std::size_t>(RefusalCode::AnswerIncomplete) + 1);

} // namespace

std::string_view refusalName(RefusalCode code)
{
    return refusalRows.at(static_cast<std::size_t>(code)).name;
}

int refusalStatus(RefusalCode code)
{
    return refusalRows.at(static_cast<std::size_t>(code)).status;
}

std::string_view outcomeName(RequestOutcome outcome)
{
    return outcome == RequestOutcome::NotRun ? "not-run" : "unknown";
}

} // namespace Hyssophall
