#pragma once

#include "process/hooks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace Hyssophall {

/// Start times of the requests in flight on one instance. The reports don't say which request ended, so the oldest is assumed to end first.
/// Not thread-safe.
class InFlightRequests
{
public:
    void start(std::uint32_t count, SteadyTime now);
    void end(std::uint32_t count);
    void clear();

    /// Sets how many requests are in flight. If @p count is negative, as many of the starts that are reported within @p maximumStartDelay aren't counted.
    void reset(std::int64_t count, std::chrono::milliseconds maximumStartDelay, SteadyTime now);

    /// Removes requests that are older than @p maximumAge: the VM that sent them was lost before it could report their end.
    void removeExpired(std::chrono::milliseconds maximumAge, SteadyTime now);

    /// Returns how many requests have been in flight for longer than @p limit and weren't returned by an earlier call.
    std::size_t takeHanging(std::chrono::duration<double, std::milli> limit, SteadyTime now);

    std::size_t count() const;

private:
    /// Oldest first.
    std::deque<SteadyTime> startTimes;
    /// Requests that takeHanging() has returned. They are the oldest in startTimes.
    std::size_t hangingCount = 0;
    /// Starts that aren't counted when they are reported, and until when. A start that was lost would otherwise be replaced by that of another request.
    std::size_t expectedStarts = 0;
    SteadyTime expectedUntil;
};

} // namespace Hyssophall
