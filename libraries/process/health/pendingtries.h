#pragma once

#include "process/hooks.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace Hyssophall {

/**
 * The tries in flight on one instance. Counts overdue ones, so that a hanging instance is detected before its tries time out.
 *
 * Not thread-safe.
 */
class PendingTries
{
public:
    void begin(SteadyTime now);

    /// Ends the try whose start is closest to @p startTime. Returns true if it was counted as overdue before.
    bool finish(SteadyTime startTime);

    /// Returns the number of tries that have become overdue since the last call, that is, in flight for longer than @p limit.
    std::uint32_t countNewlyOverdue(SteadyTime now, std::chrono::microseconds limit);

private:
    /// Whether each try was counted as overdue, by start time.
    std::multimap<SteadyTime, bool> tries;
};

} // namespace Hyssophall
