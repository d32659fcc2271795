#include "dividedlimiter.h"

#include <algorithm>

namespace HyssophallBench {

using Hyssophall::RateDecision;

DividedLimiter::DividedLimiter(const std::map<std::string, Hyssophall::TeamLimit> &limits, double vms)
{
    for (const std::pair<const std::string, Hyssophall::TeamLimit> &limit : limits) {
        Bucket bucket;
        bucket.rate = limit.second.rate / vms;
        // A bucket that holds less than one token would never let a request through.
        bucket.burst = std::max(1.0, limit.second.burst / vms);
        bucket.tokens = bucket.burst;
        bucket.filledAt = std::chrono::steady_clock::now();
        this->buckets[limit.first] = bucket;
    }
}

RateDecision DividedLimiter::acquire(const std::string &team, Hyssophall::SteadyTime)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->buckets.find(team);
    if (found == this->buckets.end()) {
        return {RateDecision::Kind::Unavailable, std::chrono::milliseconds(0)};
    }
    Bucket &bucket = found->second;
    const Hyssophall::SteadyTime now = std::chrono::steady_clock::now();
    bucket.tokens = std::min(bucket.burst, bucket.tokens + bucket.rate * std::chrono::duration<double>(now - bucket.filledAt).count());
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        return {RateDecision::Kind::RateLimited, std::chrono::milliseconds(1000)};
    }
    bucket.tokens -= 1;
    return {RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
}

void DividedLimiter::returnToken(const std::string &team)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->buckets.find(team);
    if (found != this->buckets.end()) {
        found->second.tokens = std::min(found->second.burst, found->second.tokens + 1);
    }
}

} // namespace HyssophallBench
