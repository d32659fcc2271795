#include "process/health/instancescore.h"

#include <algorithm>

namespace Hyssophall {

namespace {

// About the last ten tries decide, so that a gray instance loses its share within a few requests.
constexpr double averageWeight = 0.1;
// A failed try costs the caller a retry, which is worth many times a slow answer.
constexpr double failurePenalty = 20;
constexpr double shedPenalty = 4;
constexpr double smallestStartShare = 0.1;
// Keeps instances without an answer yet comparable to the others.
constexpr double assumedLatencyMicroseconds = 1000;
constexpr double failureShareAfterEjection = 0.2;

double averaged(double average, double sample)
{
    return average + averageWeight * (sample - average);
}

} // namespace

bool isFailure(TryOutcome outcome)
{
    switch (outcome) {
    case TryOutcome::ServerError:
    case TryOutcome::ConnectFailed:
    case TryOutcome::WrongInstance:
    case TryOutcome::TimedOut:
    case TryOutcome::ConnectionLost:
    case TryOutcome::AnswerIncomplete:
        return true;
    case TryOutcome::Answered:
    case TryOutcome::Shed:
    case TryOutcome::Neutral:
        return false;
    }
    return false;
}

InstanceScore::InstanceScore(SteadyTime firstSeen)
    : firstSeen(firstSeen)
{
}

void InstanceScore::begin()
{
    ++this->openTries;
}

void InstanceScore::finish(TryOutcome outcome, std::chrono::microseconds latency)
{
    if (this->openTries > 0) {
        --this->openTries;
    }
    if (outcome == TryOutcome::Neutral) {
        return;
    }
    this->failures = averaged(this->failures, isFailure(outcome) ? 1 : 0);
    this->sheds = averaged(this->sheds, outcome == TryOutcome::Shed ? 1 : 0);
    // Quick failures say nothing about the time that an answer takes; time-outs do.
    if (outcome == TryOutcome::Answered || outcome == TryOutcome::TimedOut) {
        const double sample = static_cast<double>(latency.count());
        this->latencyMicroseconds = this->latencyMicroseconds == 0 ? sample : averaged(this->latencyMicroseconds, sample);
    }
}

double InstanceScore::cost(SteadyTime now) const
{
    const double base = this->latencyMicroseconds == 0 ? assumedLatencyMicroseconds : this->latencyMicroseconds;
    const double penalty = 1 + failurePenalty * this->failures + shedPenalty * this->sheds;
    double share = 1;
    if (this->isStartingUp(now)) {
        const std::chrono::duration<double> age = now - this->firstSeen;
        share = std::max(smallestStartShare, age / std::chrono::duration<double>(slowStart));
    }
    return (this->openTries + 1) * base * penalty / share;
}

double InstanceScore::failureShare() const
{
    return this->failures;
}

std::chrono::microseconds InstanceScore::latency() const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(this->latencyMicroseconds));
}

std::uint32_t InstanceScore::inFlight() const
{
    return this->openTries;
}

bool InstanceScore::isStartingUp(SteadyTime now) const
{
    return now - this->firstSeen < slowStart;
}

void InstanceScore::giveAnotherChance()
{
    this->failures = std::min(this->failures, failureShareAfterEjection);
    this->latencyMicroseconds = 0;
}

} // namespace Hyssophall
