#include "process/hooks.h"

#include <ctime>

namespace Hyssophall {

SteadyTime suspendAwareNow()
{
    timespec now{};
    if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
        // A kernel without this clock.
        return std::chrono::steady_clock::now();
    }
    return SteadyTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace Hyssophall
