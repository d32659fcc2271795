#pragma once

#include "connection/httpmessage.h"
#include "request/headernames.h"

namespace Hyssophall {

/// The headers of a caller's request that are forwarded to an upstream: all but hop-by-hop headers, API keys, Hyssophall-* and headers that the fleet sets
/// itself.
HttpHeaders forwardedRequestHeaders(const HttpHeaders &headers, const HeaderNames &names = HeaderNames());

/// The headers of an upstream's response that are forwarded to the caller: all but hop-by-hop headers, Content-Length, Hyssophall-* and X-Request-Id.
HttpHeaders forwardedResponseHeaders(const HttpHeaders &headers);

} // namespace Hyssophall
