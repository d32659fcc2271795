#pragma once

#include "process/limits/ratelimiter.h"

#include <string>

namespace Hyssophall {

/// A token of a team's rate that a request holds. It is given back on destruction unless the request was sent.
class RateToken
{
public:
    RateToken(RateLimiter &limiter, std::string team);
    ~RateToken();
    RateToken(const RateToken &) = delete;
    RateToken &operator=(const RateToken &) = delete;

    /// The request was sent, or answered from a record.
    void spend();

private:
    RateLimiter &limiter;
    const std::string team;
    bool spent = false;
};

} // namespace Hyssophall
