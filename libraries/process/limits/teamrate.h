#pragma once

namespace Hyssophall {

/// Rate limit of a team in the whole fleet, as used by SharedRateLimiter.
struct TeamRate {
    /// Requests per second; 0 means no limit.
    double rate = 0;
    /// Number of requests that may arrive at once beyond the rate.
    double burst = 0;
};

} // namespace Hyssophall
