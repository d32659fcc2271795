#include "process/health/instancelimit.h"

#include <algorithm>
#include <chrono>

namespace Hyssophall {

namespace {

/// An instance that takes no requests at all still gets one in four seconds, since only a response tells when the limit ends.
constexpr double minimumRequestsPerSecond = 0.25;
/// Time in which tokens are collected for requests that come at once.
constexpr std::chrono::duration<double> burstTime{1};
/// VMs that learn late of each other's requests start too many. Bounds the time for which the instance gets none after that.
constexpr std::chrono::duration<double> maximumDebtTime{4};

} // namespace

void InstanceLimit::set(std::optional<double> requestsPerSecond, SteadyTime now)
{
    if (!this->limit) {
        // What the instance has got until now may be more than its limit.
        this->tokens = 0;
        this->lastRefill = now;
    }
    this->refill(now);
    this->limit = requestsPerSecond;
}

std::optional<double> InstanceLimit::requestsPerSecond() const
{
    return this->limit;
}

void InstanceLimit::addStarted(std::uint32_t count, SteadyTime now)
{
    if (this->limit) {
        this->refill(now);
        this->tokens -= count;
    }
}

bool InstanceLimit::allowsRequest(double share, SteadyTime now)
{
    if (!this->limit) {
        return true;
    }
    // A share that has fallen since the last decision applies to the time since then.
    this->visibleShare = std::min(this->visibleShare, share);
    this->refill(now);
    this->visibleShare = share;
    return this->tokens >= 1;
}

void InstanceLimit::refill(SteadyTime now)
{
    const std::chrono::duration<double> passed = now - this->lastRefill;
    this->lastRefill = now;
    if (this->limit) {
        const double rate = std::max(minimumRequestsPerSecond, *this->limit) * this->visibleShare;
        const double capacity = std::max(1.0, rate * burstTime.count());
        this->tokens = std::clamp(this->tokens + rate * passed.count(), -rate * maximumDebtTime.count(), capacity);
    }
}

} // namespace Hyssophall
