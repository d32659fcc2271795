#pragma once

#include <cstdint>

namespace Hyssophall::Harness {

/// A TCP port on 127.0.0.1 that was free a moment ago and that this process hasn't handed out before.
/// Below the kernel's ephemeral range, so that an outgoing connection can't take it.
std::uint16_t findFreePort();

} // namespace Hyssophall::Harness
