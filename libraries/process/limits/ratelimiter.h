#pragma once

#include "process/hooks.h"

#include <string>

namespace Hyssophall {

/// The answer to a request for one token of a team's fleet-wide rate.
struct RateDecision {
    enum class Kind {
        Granted,
        /// The team is over its rate and burst.
        RateLimited,
        /// The owner of the team's bucket can't be asked or holds no lease.
        Unavailable,
    };
    Kind kind = Kind::Unavailable;
    std::chrono::milliseconds retryAfter{0};
    /// What a refusal went by, or a grant of a scarce token; for the log.
    std::string grounds = {};
};

/// Interface to the fleet-wide limits. Thread-safe.
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /// Takes one token of @p team; blocks until the deadline at most.
    virtual RateDecision acquire(const std::string &team, SteadyTime deadline) = 0;

    /// Returns a token of a request that was refused before it was sent.
    virtual void giveBack(const std::string &team) = 0;
};

} // namespace Hyssophall
