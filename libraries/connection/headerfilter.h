#pragma once

#include "connection/httpmessage.h"

namespace Hyssophall {

/// The headers of a caller's request that an upstream may see: without hop-by-hop headers, keys and Hyssophall-*.
HttpHeaders forwardedRequestHeaders(const HttpHeaders &headers);

/// The headers of an upstream's answer that a caller may see: without hop-by-hop headers, the length and Hyssophall-*.
HttpHeaders forwardedAnswerHeaders(const HttpHeaders &headers);

} // namespace Hyssophall
