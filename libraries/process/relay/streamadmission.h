#pragma once

#include "process/hooks.h"

#include <chrono>
#include <mutex>
#include <optional>

namespace Hyssophall {

/**
 * Bounds how many streams of VMs a relay starts per second, and which share of its time the starts take.
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
        /// Share of the time that starts may take by the durations of the last ones. A relay that is short of processor time starts fewer streams.
        double startingShare = 0.3;
        /// Streams that arrive at once after a pause are started up to what this time allows.
        std::chrono::milliseconds burst{200};
        /// Longest time for which a stream is told to stay away.
        std::chrono::milliseconds maximumDelay{2000};
    };

    StreamAdmission(Options options, SteadyClock clock);

    /// Nothing if a stream may start now, otherwise the time after which to try again.
    std::optional<std::chrono::milliseconds> tryStart();

    /// Records how long the start of one stream took.
    void recordStart(SteadyTime::duration duration);

private:
    /// Least time between two starts.
    SteadyTime::duration interval() const;

    const Options options;
    const SteadyClock clock;
    std::mutex mutex;
    /// Exponentially weighted mean.
    SteadyTime::duration startDuration{0};
    /// When the streams that were started are paid for, at the allowed rate.
    SteadyTime startedUntil;
    /// The same for those that were told when to come back.
    SteadyTime promisedUntil;
};

} // namespace Hyssophall
