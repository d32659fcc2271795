#pragma once

#include "process/hooks.h"

#include <cstdint>
#include <optional>

namespace Hyssophall {

/**
 * The limit on its requests that an instance names while it is in need, in requests per second over all VMs together.
 *
 * A token bucket from which the requests of all VMs are taken as they become known here. VMs that choose at the same moment don't know of each
 * other's requests, so the number of tokens may fall below 0. Not thread-safe.
 */
class InstanceLimit
{
public:
    /// Sets the limit, or removes it if @p requestsPerSecond is empty.
    void set(std::optional<double> requestsPerSecond, SteadyTime now);
    std::optional<double> requestsPerSecond() const;

    /// Counts requests that were started on the instance.
    void addStarted(std::uint32_t count, SteadyTime now);

    /// Whether one more request may be started. @p visibleShare is the share of the fleet's VMs whose requests are counted here; a VM that sees
    /// only a part of the fleet uses the same part of the limit.
    bool allowsRequest(double visibleShare, SteadyTime now);

private:
    void refill(SteadyTime now);

    std::optional<double> limit;
    double visibleShare = 1;
    double tokens = 0;
    SteadyTime lastRefill;
};

} // namespace Hyssophall
