#pragma once

#include "connection/httpmessage.h"
#include "process/hooks.h"
#include "request/refusal.h"

#include <functional>
#include <optional>

namespace Hyssophall {

/// A request as received from a caller.
struct CallerRequest {
    HttpRequest http;
    SteadyTime arrival;
    /// True if the caller has closed its connection and can't receive the response. Not set if the endpoint can't check this.
    std::function<bool()> isCallerDisconnected;
};

/// The response to a caller: the complete response of an upstream, or a refusal by the fleet.
struct CallerResponse {
    HttpResponse http;
    /// Set if the request was refused by the fleet; empty for an upstream's response.
    std::optional<Refusal> refusal;
};

/// The response for a refused request: status, Hyssophall-* headers, Retry-After if set, and a JSON body.
CallerResponse refusalResponse(const Refusal &refusal);

} // namespace Hyssophall
