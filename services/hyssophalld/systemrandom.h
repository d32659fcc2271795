#pragma once

#include <cstdint>

namespace Hyssophall {

/// Returns a random number. Each thread has its own generator, seeded from the system's random device. Not for secrets.
std::uint64_t systemRandom();

} // namespace Hyssophall
