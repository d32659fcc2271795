#include "process/limits/sharedratelimiter.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// No caller is told to come back sooner; a shorter wait would only cost it a connection.
constexpr std::chrono::milliseconds shortestRetryAfter{50};
constexpr std::chrono::milliseconds longestRetryAfter{5000};
/// Requests that others admitted before this VM could know put a bucket below zero, by this much at most.
constexpr double largestDebtInSeconds = 1;
/// Below this share of its burst, a team is likely to reach its limit, so that the others must know at once what was admitted.
constexpr double scarceShare = 0.6;

} // namespace

SharedRateLimiter::SharedRateLimiter(Hooks hooks)
    : hooks(std::move(hooks))
{
}

RateDecision SharedRateLimiter::acquire(const std::string &team, SteadyTime)
{
    const TeamRate whole = this->hooks.rateOf(team);
    if (whole.rate <= 0) {
        return {RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
    }
    const TeamRate rate = this->ownPart(whole);
    bool isScarce = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Bucket &bucket = this->bucketOf(team, rate, this->hooks.clock());
        if (bucket.tokens < 1) {
            const std::chrono::duration<double> wait((1 - bucket.tokens) / rate.rate);
            const std::chrono::milliseconds retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
            return {RateDecision::Kind::RateLimited,
                std::clamp(retryAfter, shortestRetryAfter, longestRetryAfter),
                "tokens=" + std::to_string(bucket.tokens) + " rate=" + std::to_string(rate.rate) + " burst=" + std::to_string(rate.burst)
                    + " visible_share=" + std::to_string(rate.rate / whole.rate)};
        }
        bucket.tokens -= 1;
        isScarce = bucket.tokens < scarceShare * rate.burst;
    }
    this->hooks.admitted(team, isScarce);
    return {RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
}

void SharedRateLimiter::giveBack(const std::string &)
{
}

void SharedRateLimiter::admittedElsewhere(const std::string &team, std::uint32_t count)
{
    const TeamRate whole = this->hooks.rateOf(team);
    if (whole.rate <= 0) {
        return;
    }
    const TeamRate rate = this->ownPart(whole);
    std::lock_guard<std::mutex> lock(this->mutex);
    Bucket &bucket = this->bucketOf(team, rate, this->hooks.clock());
    bucket.tokens = std::max(bucket.tokens - count, -largestDebtInSeconds * rate.rate);
}

TeamRate SharedRateLimiter::ownPart(const TeamRate &whole) const
{
    const double share = this->hooks.visibleShare();
    // A VM that is alone must still be able to admit a request.
    return {whole.rate * share, std::max(1.0, whole.burst * share)};
}

SharedRateLimiter::Bucket &SharedRateLimiter::bucketOf(const std::string &team, const TeamRate &rate, SteadyTime now)
{
    Bucket &bucket = this->buckets[team];
    if (bucket.isNew) {
        bucket = {rate.burst, now, false};
    }
    const std::chrono::duration<double> passed = now - bucket.filled;
    bucket.tokens = std::min(rate.burst, bucket.tokens + rate.rate * passed.count());
    bucket.filled = now;
    return bucket;
}

} // namespace Hyssophall
