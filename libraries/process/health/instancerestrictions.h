#pragma once

#include "process/health/instancelimit.h"

namespace Hyssophall {

/// What an instance has said about the requests that it takes, as far as it is in force. Not thread-safe.
class InstanceRestrictions
{
public:
    /// The limit over all VMs together.
    InstanceLimit &limit();
    const InstanceLimit &limit() const;

    /// Whether one more request of this VM may be started; see InstanceLimit::allowsRequest() for @p visibleShare.
    bool allowsRequest(double visibleShare, SteadyTime now);

private:
    InstanceLimit requestLimit;
};

} // namespace Hyssophall
