#pragma once

#include <string_view>

namespace Hyssophall {

/// The path of a request target without its query.
std::string_view targetPath(std::string_view target);

/// False for targets that an upstream could read as another path than the route table does: dot segments, also encoded ones,
/// encoded separators, backslashes, bytes outside of printable ASCII, or anything but an absolute path.
bool isPlainTarget(std::string_view target);

} // namespace Hyssophall
