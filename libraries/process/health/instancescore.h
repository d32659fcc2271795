#pragma once

#include "process/health/instancehealth.h"
#include "process/hooks.h"

#include <chrono>
#include <cstdint>

namespace Hyssophall {

/**
 * What this VM itself has seen of one incarnation of an instance; lowers the instance's share of this VM's requests.
 *
 * It isn't an ejection: a score never takes an instance out of service. Not thread-safe.
 */
class InstanceScore
{
public:
    /// Time in which a new instance is brought up to its full share, since upstreams start cold.
    static constexpr std::chrono::seconds slowStart{10};

    explicit InstanceScore(SteadyTime firstSeen);

    void begin();
    void finish(TryOutcome outcome, std::chrono::microseconds latency);

    /// Expected cost of the next request; the lower the better. Unitless.
    double cost(SteadyTime now) const;

    /// Exponentially weighted share of failed tries, from 0 to 1.
    double failureShare() const;

    /// Exponentially weighted latency of answered tries; zero before the first.
    std::chrono::microseconds latency() const;

    std::uint32_t inFlight() const;
    bool isStartingUp(SteadyTime now) const;

    /// Forgets failures, after an ejection has ended and the instance gets another chance.
    void giveAnotherChance();

private:
    SteadyTime firstSeen;
    double latencyMicroseconds = 0;
    double failures = 0;
    double sheds = 0;
    std::uint32_t openTries = 0;
};

/// True for outcomes that speak against the instance.
bool isFailure(TryOutcome outcome);

} // namespace Hyssophall
