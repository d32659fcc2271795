#pragma once

#include "process/cataloguestore.h"
#include "process/fleet/claimcoordinator.h"
#include "process/fleet/servinglease.h"
#include "process/health/instancehealth.h"
#include "process/limits/capacityqueue.h"
#include "process/limits/ratelimiter.h"
#include "process/settings/settings.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// A part of the daemon that couldn't be made. Source: createServingParts().
struct MissingPart {
    std::string name;
};

/// What the request path needs from the rest of the process. The fleet, the limits and the health judgement implement it.
struct ServingParts {
    std::shared_ptr<ServingLease> lease;
    std::shared_ptr<RateLimiter> rateLimiter;
    std::shared_ptr<ClaimCoordinator> claims;
    std::shared_ptr<CapacityQueue> capacity;
    std::shared_ptr<InstanceHealth> health;
    /// Returns tokens and leases and leaves gossip.
    std::function<void()> leaveFleet;
};

/// Joins the fleet and makes the parts. @p store outlives them. Errors: MissingPart.
boost::leaf::result<ServingParts> createServingParts(const Settings &settings, CatalogueStore &store);

} // namespace Hyssophall
