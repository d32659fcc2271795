#include "process/limits/adaptivelimit.h"

#include <algorithm>

namespace Hyssophall {

namespace {

constexpr double shrinkFactor = 0.8;
// Requests that were sent before the limit shrank say nothing about the smaller one, so it shrinks once in this time.
constexpr std::chrono::milliseconds shrinkInterval{100};
// The limit grows only while it is in use, or a quiet hour would leave it far too high.
constexpr double usedShare = 0.7;

} // namespace

AdaptiveLimit::AdaptiveLimit(double initial)
    : value(std::clamp(initial, smallest, largest))
{
}

double AdaptiveLimit::limit() const
{
    return this->value;
}

void AdaptiveLimit::note(CapacitySignal signal, double inFlight, SteadyTime now)
{
    if (signal == CapacitySignal::Overload && now - this->shrunkAt >= shrinkInterval) {
        this->value = std::max(smallest, this->value * shrinkFactor);
        this->shrunkAt = now;
    }
    if (signal == CapacitySignal::Answered && inFlight >= usedShare * this->value) {
        this->value = std::min(largest, this->value + 1 / this->value);
    }
}

} // namespace Hyssophall
