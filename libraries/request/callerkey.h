#pragma once

#include "connection/httpmessage.h"
#include "request/headernames.h"
#include "version/catalogue.h"

#include <optional>

namespace Hyssophall {

/// SHA-256 hash of the request's API key; empty if the request has no key. The key itself isn't stored.
std::optional<KeyHash> callerKeyHash(const HttpHeaders &headers, const HeaderNames &names = HeaderNames());

} // namespace Hyssophall
