#pragma once

#include "process/hooks.h"

#include <string>

namespace Hyssophall {

/// Result of RateLimiter::acquire().
struct RateDecision {
    enum class Kind {
        /// The request may be sent.
        Granted,
        /// The team has used up its rate and burst.
        RateLimited,
        /// The VM that owns the team's token bucket is unreachable or holds no lease on it.
        Unavailable,
    };
    Kind kind = Kind::Unavailable;
    /// Time after which the caller should try again, for RateLimited.
    std::chrono::milliseconds retryAfter{0};
    /// Values on which the decision rests, for the request log. Set by SharedRateLimiter for refusals and for grants when tokens are scarce.
    std::string details = {};
};

/// Interface to the teams' request rate limits, which count the requests of all VMs together. Thread-safe.
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /// Takes one token of @p team. May block until @p deadline.
    virtual RateDecision acquire(const std::string &team, SteadyTime deadline) = 0;

    /// Returns the token of a request that was refused for another reason before it was sent.
    virtual void returnToken(const std::string &team) = 0;
};

} // namespace Hyssophall
