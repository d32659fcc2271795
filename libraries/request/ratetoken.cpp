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
    if (!this->consumed) {
        this->limiter.giveBack(this->team);
    }
}

void RateToken::consume()
{
    this->consumed = true;
}

} // namespace Hyssophall
