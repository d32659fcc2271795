#include "request/ratetoken.h"

#include <utility>

namespace Hyssophall {

RateToken::RateToken(RateLimiter &limiter, std::string team)
    : limiter(limiter)
    , team(std::move(team))
{
}

RateToken::~RateToken()
{
    if (!this->spent) {
        this->limiter.returnToken(this->team);
    }
}

void RateToken::spend()
{
    this->spent = true;
}

} // namespace Hyssophall
