#include "process/health/instancerestrictions.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

InstanceLimit &InstanceRestrictions::limit()
{
    return this->requestLimit;
}

const InstanceLimit &InstanceRestrictions::limit() const
{
    return this->requestLimit;
}

bool InstanceRestrictions::allowsRequest(double visibleShare, SteadyTime now)
{
    return this->takesRequests(now) && this->requestLimit.allowsRequest(visibleShare, now);
}

bool InstanceRestrictions::takesRequests(SteadyTime now) const
{
    return !this->leaving && now >= this->backoffEnd;
}

bool InstanceRestrictions::addBackoff(std::chrono::milliseconds duration, SteadyTime now)
{
    const bool hadNone = now >= this->backoffEnd;
    this->backoffEnd = std::max(this->backoffEnd, now + duration);
    return hadNone;
}

bool InstanceRestrictions::setLeaving()
{
    return !std::exchange(this->leaving, true);
}

SteadyTime InstanceRestrictions::backoffUntil() const
{
    return this->backoffEnd;
}

} // namespace Hyssophall
