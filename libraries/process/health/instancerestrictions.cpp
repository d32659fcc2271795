#include "process/health/instancerestrictions.h"

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
    return this->requestLimit.allowsRequest(visibleShare, now);
}

} // namespace Hyssophall
