#pragma once

#include <cstdint>

namespace Hyssophall {

/// Random numbers seeded by the system, a generator for each thread.
std::uint64_t systemRandom();

} // namespace Hyssophall
