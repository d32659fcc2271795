#pragma once

#include "process/limits/ratelimiter.h"
#include "process/limits/teamlimit.h"

#include <map>
#include <mutex>
#include <string>

namespace HyssophallBench {

/// A token bucket for each team that holds this VM's part, rate/N and burst/N, of the fleet's limit. Thread-safe.
class DividedLimiter : public Hyssophall::RateLimiter
{
public:
    /// @p limits hold the whole fleet's rates. @p vms is N.
    DividedLimiter(const std::map<std::string, Hyssophall::TeamLimit> &limits, double vms);

    Hyssophall::RateDecision acquire(const std::string &team, Hyssophall::SteadyTime deadline) override;
    void returnToken(const std::string &team) override;

private:
    struct Bucket {
        double rate = 0;
        double burst = 1;
        double tokens = 0;
        Hyssophall::SteadyTime filledAt{};
    };

    std::mutex mutex;
    std::map<std::string, Bucket> buckets;
};

} // namespace HyssophallBench
