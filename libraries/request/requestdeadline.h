#pragma once

#include "connection/httpmessage.h"
#include "process/hooks.h"

#include <optional>
#include <string>

namespace Hyssophall {

/// No request may hold a connection for longer, whatever its caller asks for.
constexpr std::chrono::milliseconds maximumRequestTimeout{60000};

/// The caller's own limit from the header @p name: @p fallback without the header, nothing for a malformed one.
std::optional<std::chrono::milliseconds> requestTimeout(const HttpHeaders &headers, const std::string &name, std::chrono::milliseconds fallback);

} // namespace Hyssophall
