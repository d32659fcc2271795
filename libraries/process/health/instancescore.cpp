#include "process/health/instancescore.h"

#include <algorithm>

namespace Hyssophall {

namespace {

// The averages cover about the last ten tries, so that the share of a gray instance drops within a few requests.
constexpr double averageWeight = 0.1;
// A failed try costs the caller a retry, which is many times as expensive as a slow response.
constexpr double failurePenalty = 20;
constexpr double shedPenalty = 4;
// Share of the requests with which the slow start of a new instance begins.
constexpr double minimumStartShare = 0.1;
// Used for instances without a measured latency, so that their cost is comparable to that of the others.
constexpr double assumedLatencyMicroseconds = 1000;
constexpr double maximumFailureShareAfterEjection = 0.2;

double updatedAverage(double average, double sample)
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
    ++this->triesInFlight;
}

void InstanceScore::finish(TryOutcome outcome, std::chrono::microseconds latency)
{
    if (this->triesInFlight > 0) {
        --this->triesInFlight;
    }
    if (outcome == TryOutcome::Neutral) {
        return;
    }
    this->weightedFailures = updatedAverage(this->weightedFailures, isFailure(outcome) ? 1 : 0);
    this->weightedSheds = updatedAverage(this->weightedSheds, outcome == TryOutcome::Shed ? 1 : 0);
    // Other failures end early and say nothing about the latency of responses.
    if (outcome == TryOutcome::Answered || outcome == TryOutcome::TimedOut) {
        const double sample = static_cast<double>(latency.count());
        this->latencyMicroseconds = this->latencyMicroseconds == 0 ? sample : updatedAverage(this->latencyMicroseconds, sample);
    }
}

double InstanceScore::cost(SteadyTime now) const
{
    const double base = this->latencyMicroseconds == 0 ? assumedLatencyMicroseconds : this->latencyMicroseconds;
    const double penalty = 1 + failurePenalty * this->weightedFailures + shedPenalty * this->weightedSheds;
    double share = 1;
    if (this->isStartingUp(now)) {
        const std::chrono::duration<double> age = now - this->firstSeen;
        share = std::max(minimumStartShare, age / std::chrono::duration<double>(slowStart));
    }
    return (this->triesInFlight + 1) * base * penalty / share;
}

double InstanceScore::failureShare() const
{
    return this->weightedFailures;
}

std::chrono::microseconds InstanceScore::latency() const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(this->latencyMicroseconds));
}

std::uint32_t InstanceScore::inFlight() const
{
    return this->triesInFlight;
}

bool InstanceScore::isStartingUp(SteadyTime now) const
{
    return now - this->firstSeen < slowStart;
}

void InstanceScore::resetAfterEjection()
{
    this->weightedFailures = std::min(this->weightedFailures, maximumFailureShareAfterEjection);
    this->latencyMicroseconds = 0;
}

} // namespace Hyssophall
