#pragma once

#include "process/limits/ratelimiter.h"

#include <string>

namespace Hyssophall {

/// A token of a team's rate limit, acquired for one request. Returned to the limiter on destruction unless consume() was called.
class RateToken
{
public:
    RateToken(RateLimiter &limiter, std::string team);
    ~RateToken();
    RateToken(const RateToken &) = delete;
    RateToken &operator=(const RateToken &) = delete;

    /// Marks the token as used: the request was sent to an upstream or its stored response was replayed.
    void consume();

private:
    RateLimiter &limiter;
    const std::string team;
    bool consumed = false;
};

} // namespace Hyssophall
