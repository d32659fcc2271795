#pragma once

#include "process/hooks.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace Hyssophall {

/**
 * The tries that one instance hasn't ended yet, so that a hanging instance speaks against itself before its tries time out.
 *
 * Not thread-safe.
 */
class PendingTries
{
public:
    void begin(SteadyTime now);

    /// Ends the try that began closest to @p began. Returns true when it was counted as overdue before.
    bool finish(SteadyTime began);

    /// Tries that have become overdue since the last call: pending for longer than @p limit.
    std::uint32_t takeOverdue(SteadyTime now, std::chrono::microseconds limit);

private:
    /// Whether the try was counted as overdue, by its beginning.
    std::multimap<SteadyTime, bool> tries;
};

} // namespace Hyssophall
