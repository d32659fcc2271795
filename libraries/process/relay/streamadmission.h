#pragma once

#include "process/hooks.h"

#include <chrono>
#include <mutex>
#include <optional>

namespace Hyssophall {

/**
 * Bounds how many streams of VMs a relay starts per second.
 *
 * When a whole fleet arrives at once, starting its streams would take all of the relay's processor time. Meanwhile the streams that were started
 * would time out and come back, and the control group couldn't form. Those beyond the bound are told one after the other when to come back.
 * Thread-safe.
 */
class StreamAdmission
{
public:
    struct Options {
        double startsPerSecond = 150;
        /// Streams that arrive at once after a pause are started up to what this time allows.
        std::chrono::milliseconds burst{200};
        /// Longest time for which a stream is told to stay away.
        std::chrono::milliseconds maximumDelay{2000};
    };

    StreamAdmission(Options options, SteadyClock clock);

    /// Nothing if a stream may start now, otherwise the time after which to try again.
    std::optional<std::chrono::milliseconds> tryStart();

private:
    const Options options;
    const SteadyClock clock;
    std::mutex mutex;
    /// When the streams that were started are paid for, at the allowed rate.
    SteadyTime startedUntil;
    /// The same for those that were told when to come back.
    SteadyTime promisedUntil;
};

} // namespace Hyssophall
