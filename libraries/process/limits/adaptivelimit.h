#pragma once

#include "process/hooks.h"
#include "process/limits/capacityqueue.h"

namespace Hyssophall {

/**
 * Concurrency limit of one service on this VM, with additive increase and multiplicative decrease.
 *
 * The limit grows by about one for every limit() answered requests while it is in use, and shrinks when the service is overloaded. FairCapacity
 * keeps one for each service. Not thread-safe.
 */
class AdaptiveLimit
{
public:
    /// Bounds of the limit, in requests in flight.
    static constexpr double minimum = 1;
    static constexpr double maximum = 1000;

    explicit AdaptiveLimit(double initial);

    /// Number of requests that may be in flight now. May have a fraction, of which only the whole part is usable.
    double limit() const;

    /// Adjusts the limit by the result of a request. @p inFlight is the number of requests in flight, the finished one included.
    void recordResult(CapacitySignal signal, double inFlight, SteadyTime now);

private:
    double value;
    SteadyTime lastDecrease{};
};

} // namespace Hyssophall
