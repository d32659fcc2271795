#pragma once

#include "connection/httpmessage.h"
#include "process/hooks.h"

#include <optional>
#include <string>

namespace Hyssophall {

/// Upper bound on the time limit of every request, so that no caller can hold a connection for longer.
constexpr std::chrono::milliseconds maximumRequestTimeout{60000};

/// The time limit in milliseconds that the caller set in the header @p name, at most maximumRequestTimeout. Returns @p fallback without the header, and
/// nothing if its value isn't a positive integer.
std::optional<std::chrono::milliseconds> requestTimeout(const HttpHeaders &headers, const std::string &name, std::chrono::milliseconds fallback);

} // namespace Hyssophall
