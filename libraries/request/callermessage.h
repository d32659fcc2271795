#pragma once

#include "connection/httpmessage.h"
#include "process/hooks.h"
#include "request/refusal.h"

#include <functional>
#include <optional>

namespace Hyssophall {

/// A caller's request as the endpoint received it.
struct CallerRequest {
    HttpRequest http;
    SteadyTime arrival;
    /// Whether the caller has closed its connection, so that nobody waits for the answer. Empty when that isn't known.
    std::function<bool()> isAbandoned;
};

/// What the caller gets: an upstream's whole answer, or the fleet's refusal.
struct CallerAnswer {
    HttpAnswer http;
    /// Set when the fleet answers itself.
    std::optional<Refusal> refusal;
};

/// The answer that tells a caller about a refusal: headers, JSON body and Retry-After.
CallerAnswer refusalAnswer(const Refusal &refusal);

} // namespace Hyssophall
