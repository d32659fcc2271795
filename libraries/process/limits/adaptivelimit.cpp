#include "process/limits/adaptivelimit.h"

#include <algorithm>

namespace Hyssophall {

namespace {

constexpr double decreaseFactor = 0.8;
// The limit shrinks at most once in this time: overload of requests that were sent before it shrank doesn't show that the smaller limit is too large.
constexpr std::chrono::milliseconds decreaseInterval{100};
// The limit grows only while at least this share of it is in use. Otherwise an hour of low load would raise it far above what the service can serve.
constexpr double minimumUtilization = 0.7;

} // namespace

AdaptiveLimit::AdaptiveLimit(double initial)
    : value(std::clamp(initial, minimum, maximum))
{
}

double AdaptiveLimit::limit() const
{
    return this->value;
}

void AdaptiveLimit::recordResult(CapacitySignal signal, double inFlight, SteadyTime now)
{
    if (signal == CapacitySignal::Overload && now - this->lastDecrease >= decreaseInterval) {
        this->value = std::max(minimum, this->value * decreaseFactor);
        this->lastDecrease = now;
    }
    if (signal == CapacitySignal::Answered && inFlight >= minimumUtilization * this->value) {
        this->value = std::min(maximum, this->value + 1 / this->value);
    }
}

} // namespace Hyssophall
