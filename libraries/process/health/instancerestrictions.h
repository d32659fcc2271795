#pragma once

#include "process/health/instancelimit.h"

#include <chrono>

namespace Hyssophall {

/// What an instance has said about the requests that it takes, as far as it is in force. Not thread-safe.
class InstanceRestrictions
{
public:
    /// The limit over all VMs together.
    InstanceLimit &limit();
    const InstanceLimit &limit() const;

    /// The instance wants no requests of this VM for this long. A shorter backoff than the one in force changes nothing. Returns whether the instance had
    /// none in force.
    bool addBackoff(std::chrono::milliseconds duration, SteadyTime now);

    /// End of the backoff; in the past if there is none.
    SteadyTime backoffUntil() const;

    /// The instance wants no further requests of this VM. Returns whether it hadn't said so before.
    bool setLeaving();

    /// Whether the instance takes requests of this VM, apart from the limit over all VMs.
    bool takesRequests(SteadyTime now) const;

    /// Whether one more request of this VM may be started; see InstanceLimit::allowsRequest() for @p visibleShare.
    bool allowsRequest(double visibleShare, SteadyTime now);

private:
    InstanceLimit requestLimit;
    SteadyTime backoffEnd;
    bool leaving = false;
};

} // namespace Hyssophall
