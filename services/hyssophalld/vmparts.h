#pragma once

#include "connection/upstreamsender.h"
#include "process/fleet/claimcoordinator.h"
#include "process/fleet/servinglease.h"
#include "process/health/instancehealth.h"
#include "process/limits/capacityqueue.h"
#include "process/limits/ratelimiter.h"
#include "process/proxy/cataloguelookup.h"
#include "process/telemetry/requestmetrics.h"
#include "request/retrylimiter.h"

namespace Hyssophall {

/// The components through which the request handler uses the fleet. FleetParts implements them for a fleet without relays, RelayParts for one with relays.
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

    /// Receives each finished request; null if the fleet doesn't need them.
    virtual RequestObserver *observer() = 0;

    /// Adds the gauges of these components. The metrics must not be read after this object is destroyed.
    virtual void addGauges(RequestMetrics &metrics) = 0;

    /// Blocks until the first catalogue arrives on a VM that has just started, or until the deadline.
    virtual void awaitCatalogue(SteadyTime)
    {
    }

    /// Sends the tries of this VM's requests. @p direct sends them from this VM itself.
    virtual UpstreamSender &sender(UpstreamSender &direct)
    {
        return direct;
    }

    /// The first step of a shutdown: from now on accepts no work of other VMs.
    virtual void beginDrain()
    {
    }

    /// Waits until no work of other VMs is in flight, or for @p limit. Returns whether none is.
    virtual bool waitUntilIdle(std::chrono::milliseconds)
    {
        return true;
    }

    /// Leaves the fleet; the last step of a shutdown.
    virtual void leave() = 0;
};

} // namespace Hyssophall
