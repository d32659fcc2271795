#pragma once

#include "process/health/instancehealth.h"
#include "process/hooks.h"

#include <chrono>
#include <cstdint>

namespace Hyssophall {

/**
 * Statistics of this VM's own tries on one incarnation of an instance. They decide the instance's share of this VM's requests.
 *
 * A bad score lowers the share but, unlike an ejection, never takes an instance out of service. Not thread-safe.
 */
class InstanceScore
{
public:
    /// Time over which the share of a new instance is raised to the full one, since upstreams start cold.
    static constexpr std::chrono::seconds slowStart{10};

    explicit InstanceScore(SteadyTime firstSeen);

    /// Called when a try starts and when it ends. Neutral outcomes change only the number of tries in flight.
    void begin();
    void finish(TryOutcome outcome, std::chrono::microseconds latency);

    /// Expected cost of the next request; the lower the better. Unitless.
    double cost(SteadyTime now) const;

    /// Exponentially weighted share of failed tries, from 0 to 1.
    double failureShare() const;

    /// Exponentially weighted latency of answered and timed-out tries; zero before the first.
    std::chrono::microseconds latency() const;

    std::uint32_t inFlight() const;
    bool isStartingUp(SteadyTime now) const;

    /// Limits the failure share and resets the latency when an ejection ends, so that the instance gets requests again.
    void resetAfterEjection();

private:
    SteadyTime firstSeen;
    double latencyMicroseconds = 0;
    double weightedFailures = 0;
    double weightedSheds = 0;
    std::uint32_t triesInFlight = 0;
};

/// True for outcomes that count as failures of the instance.
bool isFailure(TryOutcome outcome);

} // namespace Hyssophall
