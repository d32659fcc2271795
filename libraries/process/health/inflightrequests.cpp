#include "process/health/inflightrequests.h"

#include <algorithm>

namespace Hyssophall {

void InFlightRequests::start(std::uint32_t count, SteadyTime now)
{
    const std::size_t expected = now < this->expectedUntil ? std::min<std::size_t>(count, this->expectedStarts) : 0;
    this->expectedStarts -= expected;
    this->startTimes.insert(this->startTimes.end(), count - expected, now);
}

void InFlightRequests::reset(std::int64_t count, std::chrono::milliseconds maximumStartDelay, SteadyTime now)
{
    this->clear();
    this->startTimes.assign(static_cast<std::size_t>(std::max<std::int64_t>(0, count)), now);
    this->expectedStarts = static_cast<std::size_t>(std::max<std::int64_t>(0, -count));
    this->expectedUntil = now + maximumStartDelay;
}

void InFlightRequests::end(std::uint32_t count)
{
    const std::size_t ended = std::min<std::size_t>(count, this->startTimes.size());
    this->startTimes.erase(this->startTimes.begin(), this->startTimes.begin() + static_cast<std::ptrdiff_t>(ended));
    this->hangingCount = std::min(this->hangingCount, this->startTimes.size());
}

void InFlightRequests::clear()
{
    this->startTimes.clear();
    this->hangingCount = 0;
    this->expectedStarts = 0;
}

void InFlightRequests::removeExpired(std::chrono::milliseconds maximumAge, SteadyTime now)
{
    while (!this->startTimes.empty() && now - this->startTimes.front() > maximumAge) {
        this->startTimes.pop_front();
    }
    this->hangingCount = std::min(this->hangingCount, this->startTimes.size());
}

std::size_t InFlightRequests::takeHanging(std::chrono::duration<double, std::milli> limit, SteadyTime now)
{
    const std::size_t known = this->hangingCount;
    while (this->hangingCount < this->startTimes.size() && now - this->startTimes[this->hangingCount] > limit) {
        ++this->hangingCount;
    }
    return this->hangingCount - known;
}

std::size_t InFlightRequests::count() const
{
    return this->startTimes.size();
}

} // namespace Hyssophall
