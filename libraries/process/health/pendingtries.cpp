#include "process/health/pendingtries.h"

#include <iterator>

namespace Hyssophall {

void PendingTries::begin(SteadyTime now)
{
    this->tries.emplace(now, false);
}

bool PendingTries::finish(SteadyTime startTime)
{
    if (this->tries.empty()) {
        return false;
    }
    auto closest = this->tries.lower_bound(startTime);
    if (closest == this->tries.end() || (closest != this->tries.begin() && startTime - std::prev(closest)->first < closest->first - startTime)) {
        closest = std::prev(closest);
    }
    const bool wasOverdue = closest->second;
    this->tries.erase(closest);
    return wasOverdue;
}

std::uint32_t PendingTries::countNewlyOverdue(SteadyTime now, std::chrono::microseconds limit)
{
    std::uint32_t overdue = 0;
    for (auto pending = this->tries.begin(); pending != this->tries.end() && now - pending->first > limit; ++pending) {
        overdue += pending->second ? 0 : 1;
        pending->second = true;
    }
    return overdue;
}

} // namespace Hyssophall
