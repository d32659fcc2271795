#pragma once

#include "connection/httpmessage.h"
#include "request/headernames.h"

namespace Hyssophall {

/// The headers of a caller's request that an upstream may see: without hop-by-hop headers, keys, Hyssophall-* and what the fleet sets itself.
HttpHeaders forwardedRequestHeaders(const HttpHeaders &headers, const HeaderNames &names = HeaderNames());

/// The headers of an upstream's answer that a caller may see: without hop-by-hop headers, the length and Hyssophall-*.
HttpHeaders forwardedAnswerHeaders(const HttpHeaders &headers);

} // namespace Hyssophall
