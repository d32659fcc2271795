#pragma once

#include "connection/httpmessage.h"
#include "request/headernames.h"
#include "version/catalogue.h"

#include <optional>

namespace Hyssophall {

/// SHA-256 of the key that came with a request, or nothing when there is none. The key itself isn't kept.
std::optional<KeyHash> callerKeyHash(const HttpHeaders &headers, const HeaderNames &names = HeaderNames());

} // namespace Hyssophall
