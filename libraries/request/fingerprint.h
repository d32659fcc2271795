#pragma once

#include <cstdint>
#include <string_view>

namespace Hyssophall {

struct HttpRequest;

/// Identifies equal requests on all VMs: a hash of team, route, method, path with query, and body.
std::uint64_t requestFingerprint(std::string_view team, std::string_view route, const HttpRequest &request);

} // namespace Hyssophall
