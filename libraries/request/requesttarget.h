#pragma once

#include <string_view>

namespace Hyssophall {

/// The path of a request target, without its query.
std::string_view targetPath(std::string_view target);

/// False for targets that an upstream could interpret as another path than the one that the route was looked up by, which would bypass the check of the
/// route: dot segments, plain or encoded, encoded separators, backslashes, fragments, bytes outside of printable ASCII, or no absolute path.
bool isPlainTarget(std::string_view target);

} // namespace Hyssophall
