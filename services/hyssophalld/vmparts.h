#pragma once

#include "process/fleet/claimcoordinator.h"
#include "process/fleet/servinglease.h"
#include "process/health/instancehealth.h"
#include "process/limits/capacityqueue.h"
#include "process/limits/ratelimiter.h"
#include "process/proxy/cataloguelookup.h"
#include "process/telemetry/requestmetrics.h"
#include "request/retrylimiter.h"

namespace Hyssophall {

/// This VM's part in its fleet, as the request path uses it. There is one implementation for each shape of a fleet.
class VmParts
{
public:
    virtual ~VmParts() = default;

    virtual CatalogueLookupSource catalogue() = 0;
    virtual ServingLease &servingLease() = 0;
    virtual RateLimiter &rateLimiter() = 0;
    virtual ClaimCoordinator &claims() = 0;
    virtual CapacityQueue &capacity() = 0;
    virtual InstanceHealth &health() = 0;
    virtual RetryLimiter &retries() = 0;

    /// Told of each finished request; null when the fleet has no use for that.
    virtual RequestObserver *observer() = 0;

    /// Adds gauges of this VM's part in the fleet. The metrics must not be read after the parts are gone.
    virtual void addGauges(RequestMetrics &metrics) = 0;

    /// Waits for the first catalogue, on a VM that has just started.
    virtual void awaitCatalogue(SteadyTime)
    {
    }

    /// Leaves the fleet, as the last step before the exit.
    virtual void leave() = 0;
};

} // namespace Hyssophall
