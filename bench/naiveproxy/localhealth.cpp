#include "localhealth.h"

#include "process/health/instancescore.h"

#include <utility>

namespace HyssophallBench {

using Hyssophall::TryOutcome;

namespace {

constexpr int errorsToEject = 5;
constexpr std::chrono::seconds ejectionTime{30};

} // namespace

LocalHealth::LocalHealth(Services services, std::uint64_t firstTurn)
    : services(std::move(services))
    , nextTurn(firstTurn)
{
}

std::optional<FleetMessages::Instance> LocalHealth::choose(const Hyssophall::InstanceQuery &query)
{
    const auto found = this->services.find(query.service);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    const Hyssophall::SteadyTime now = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < found->second.size(); ++count) {
        const FleetMessages::Instance &instance = found->second[this->nextTurn++ % found->second.size()];
        if (!query.tried.contains(instance.id()) && this->states[instance.id()].ejectedUntil <= now) {
            return instance;
        }
    }
    return std::nullopt;
}

void LocalHealth::finish(const FleetMessages::Instance &instance, TryOutcome outcome, std::chrono::microseconds, std::uint64_t)
{
    if (outcome == TryOutcome::Neutral) {
        return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    State &state = this->states[instance.id()];
    // A shed answer is a 503, and so an error like the others.
    const bool isError = outcome == TryOutcome::Shed || Hyssophall::isFailure(outcome);
    state.consecutiveErrors = isError ? state.consecutiveErrors + 1 : 0;
    if (state.consecutiveErrors >= errorsToEject) {
        state.consecutiveErrors = 0;
        state.ejectedUntil = std::chrono::steady_clock::now() + ejectionTime;
        ++state.ejections;
    }
}

bool LocalHealth::isPoison(std::uint64_t) const
{
    return false;
}

std::vector<std::string> LocalHealth::ejected() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> result;
    for (const std::pair<const std::string, State> &state : this->states) {
        if (state.second.ejectedUntil > std::chrono::steady_clock::now()) {
            result.push_back(state.first);
        }
    }
    return result;
}

std::map<std::string, std::uint64_t> LocalHealth::ejectionCounts() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, std::uint64_t> result;
    for (const std::pair<const std::string, State> &state : this->states) {
        if (state.second.ejections > 0) {
            result[state.first] = state.second.ejections;
        }
    }
    return result;
}

} // namespace HyssophallBench
