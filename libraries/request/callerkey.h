#pragma once

#include "connection/httpmessage.h"
#include "version/catalogue.h"

#include <optional>

namespace Hyssophall {

/// SHA-256 of the key in "Authorization: Bearer" or X-Api-Key, or nothing when there is none. The key itself isn't kept.
std::optional<KeyHash> callerKeyHash(const HttpHeaders &headers);

} // namespace Hyssophall
