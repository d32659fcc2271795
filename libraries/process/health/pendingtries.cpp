#include "process/health/pendingtries.h"

#include <iterator>

namespace Hyssophall {

void PendingTries::begin(SteadyTime now)
{
    this->tries.emplace(now, false);
}

bool PendingTries::finish(SteadyTime began)
{
    if (this->tries.empty()) {
        return false;
    }
    auto closest = this->tries.lower_bound(began);
    if (closest == this->tries.end() || (closest != this->tries.begin() && began - std::prev(closest)->first < closest->first - began)) {
        closest = std::prev(closest);
    }
    const bool wasOverdue = closest->second;
    this->tries.erase(closest);
    return wasOverdue;
}

std::uint32_t PendingTries::takeOverdue(SteadyTime now, std::chrono::microseconds limit)
{
    std::uint32_t overdue = 0;
    for (auto pending = this->tries.begin(); pending != this->tries.end() && now - pending->first > limit; ++pending) {
        overdue += pending->second ? 0 : 1;
        pending->second = true;
    }
    return overdue;
}

} // namespace Hyssophall
