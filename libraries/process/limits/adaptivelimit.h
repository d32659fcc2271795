#pragma once

#include "process/hooks.h"
#include "process/limits/capacityqueue.h"

namespace Hyssophall {

/// How many requests this VM may have in flight to one service: grows while answers come, shrinks when the service sheds load. Not thread-safe.
class AdaptiveLimit
{
public:
    static constexpr double smallest = 1;
    static constexpr double largest = 1000;

    explicit AdaptiveLimit(double initial);

    /// Requests that may be in flight now.
    double limit() const;

    /// Notes the end of a request. @p inFlight counts it still.
    void note(CapacitySignal signal, double inFlight, SteadyTime now);

private:
    double value;
    SteadyTime shrunkAt{};
};

} // namespace Hyssophall
