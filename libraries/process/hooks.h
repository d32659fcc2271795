#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Hyssophall {

/// A point on the monotonic clock of this VM. Wall clocks are never compared between VMs.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Source of the present time; tests inject their own.
using SteadyClock = std::function<SteadyTime()>;

/// The present time on a clock that also counts while the machine is suspended. Not to be compared with times of std::chrono::steady_clock.
SteadyTime suspendAwareNow();

/// Source of uniformly distributed 64-bit numbers; tests inject a seeded one.
using RandomSource = std::function<std::uint64_t()>;

} // namespace Hyssophall
