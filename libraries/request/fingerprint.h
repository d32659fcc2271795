#pragma once

#include <cstdint>
#include <string_view>

namespace Hyssophall {

struct HttpRequest;

/// Hash of team, route, method, path with query, and body. Equal requests have the same fingerprint on all VMs.
std::uint64_t requestFingerprint(std::string_view team, std::string_view route, const HttpRequest &request);

} // namespace Hyssophall
