#pragma once

#include "process/limits/ratelimiter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Hyssophall {

/// A team's rate and burst over all VMs together.
struct TeamRate {
    /// Requests a second; 0 means no limit.
    double rate = 0;
    double burst = 0;
};

/**
 * The fleet-wide limits of a VM that hears what all other VMs admit: each VM keeps every team's bucket and takes out what others admitted.
 *
 * A VM that can't hear all of the others keeps to the part of rate and burst that falls to the VMs it hears, so that the parts of a
 * divided fleet together stay within the limit. Thread-safe; never blocks.
 */
class SharedRateLimiter : public RateLimiter
{
public:
    struct Hooks {
        SteadyClock clock;
        std::function<TeamRate(const std::string &)> rateOf;
        /// Share of the fleet's VMs whose admissions this VM hears, above 0 and at most 1.
        std::function<double()> visibleShare;
        /// Tells the other VMs of an admission; at once when the team's tokens are scarce.
        std::function<void(const std::string &, bool isScarce)> admitted;
    };

    explicit SharedRateLimiter(Hooks hooks);

    RateDecision acquire(const std::string &team, SteadyTime deadline) override;

    /// Does nothing: the other VMs have counted the request already.
    void giveBack(const std::string &team) override;

    /// Takes out what another VM admitted.
    void admittedElsewhere(const std::string &team, std::uint32_t count);

private:
    struct Bucket {
        double tokens = 0;
        SteadyTime filled;
        bool isNew = true;
    };

    TeamRate ownPart(const TeamRate &whole) const;
    Bucket &bucketOf(const std::string &team, const TeamRate &rate, SteadyTime now);

    const Hooks hooks;
    std::mutex mutex;
    std::map<std::string, Bucket> buckets;
};

} // namespace Hyssophall
