#include "process/relay/streamadmission.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

StreamAdmission::StreamAdmission(Options options, SteadyClock clock)
    : options(options)
    , clock(std::move(clock))
{
}

std::optional<std::chrono::milliseconds> StreamAdmission::tryStart()
{
    const SteadyTime now = this->clock();
    const SteadyTime::duration interval = std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(1 / this->options.startsPerSecond));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->startedUntil = std::max(this->startedUntil, now);
    if (this->startedUntil - now <= this->options.burst) {
        this->startedUntil += interval;
        return std::nullopt;
    }
    this->promisedUntil = std::min(std::max(this->promisedUntil, this->startedUntil) + interval, now + this->options.maximumDelay);
    return std::chrono::ceil<std::chrono::milliseconds>(this->promisedUntil - now);
}

} // namespace Hyssophall
