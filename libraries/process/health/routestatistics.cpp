#include "process/health/routestatistics.h"

#include <algorithm>

namespace Hyssophall {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of the newest answer in the running means, once there are enough.
constexpr double newestWeight = 0.1;
/// With fewer answers, a mean says little about the slowest ones.
constexpr std::size_t fewestAnswers = 5;
/// The users' slowest hundredth of the requests takes three times the mean.
constexpr double patienceFactor = 3;
/// Below this, a pause of the VM itself would look like a hanging instance.
constexpr Milliseconds shortestPatience{400};

} // namespace

void RouteStatistics::add(const std::string &route, std::chrono::microseconds latency, std::size_t answerBytes)
{
    Means &means = this->routes[route];
    ++means.answers;
    const double weight = std::max(newestWeight, 1.0 / static_cast<double>(means.answers));
    means.latency += (Milliseconds(latency) - means.latency) * weight;
    means.bytes += (static_cast<double>(answerBytes) - means.bytes) * weight;
}

std::size_t RouteStatistics::answerBytes(const std::string &route) const
{
    const auto known = this->routes.find(route);
    return known == this->routes.end() ? 0 : static_cast<std::size_t>(known->second.bytes);
}

std::optional<std::chrono::milliseconds> RouteStatistics::patience(const std::string &route) const
{
    const auto known = this->routes.find(route);
    if (known == this->routes.end() || known->second.answers < fewestAnswers) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(shortestPatience, known->second.latency * patienceFactor));
}

} // namespace Hyssophall
