#include "process/relay/streamadmission.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Share of the latest duration in the mean.
constexpr double latestShare = 0.2;
/// A longer start says that the process stood still, not what a start costs.
constexpr std::chrono::milliseconds longestDuration{100};

} // namespace

StreamAdmission::StreamAdmission(Options options, SteadyClock clock)
    : options(options)
    , clock(std::move(clock))
{
}

std::optional<std::chrono::milliseconds> StreamAdmission::tryStart()
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime::duration interval = this->interval();
    this->startedUntil = std::max(this->startedUntil, now);
    if (this->startedUntil - now <= this->options.burst) {
        this->startedUntil += interval;
        return std::nullopt;
    }
    this->promisedUntil = std::min(std::max(this->promisedUntil, this->startedUntil) + interval, now + this->options.maximumDelay);
    return std::chrono::ceil<std::chrono::milliseconds>(this->promisedUntil - now);
}

void StreamAdmission::recordStart(SteadyTime::duration duration)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime::duration difference = std::min<SteadyTime::duration>(duration, longestDuration) - this->startDuration;
    this->startDuration += std::chrono::duration_cast<SteadyTime::duration>(difference * latestShare);
}

SteadyTime::duration StreamAdmission::interval() const
{
    const std::chrono::duration<double> byRate(1 / this->options.startsPerSecond);
    const std::chrono::duration<double> byShare(this->startDuration / this->options.startingShare);
    return std::chrono::duration_cast<SteadyTime::duration>(std::max(byRate, byShare));
}

} // namespace Hyssophall
