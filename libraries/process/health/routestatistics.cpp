#include "process/health/routestatistics.h"

#include <algorithm>

namespace Hyssophall {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of the newest response in the means, once there are enough responses.
constexpr double minimumNewestWeight = 0.1;
/// With fewer responses, the mean says little about the slowest ones.
constexpr std::size_t minimumResponses = 5;
/// In the users' traffic, the slowest 1 % of the requests takes three times the mean latency.
constexpr double perTryTimeoutFactor = 3;
/// Lower bound of the timeout: with a shorter one, a pause of this VM would look like a hanging instance.
constexpr Milliseconds minimumPerTryTimeout{400};

} // namespace

void RouteStatistics::add(const std::string &route, std::chrono::microseconds latency, std::size_t responseBytes)
{
    Means &means = this->routes[route];
    ++means.responses;
    const double weight = std::max(minimumNewestWeight, 1.0 / static_cast<double>(means.responses));
    means.latency += (Milliseconds(latency) - means.latency) * weight;
    means.bytes += (static_cast<double>(responseBytes) - means.bytes) * weight;
}

std::size_t RouteStatistics::responseBytes(const std::string &route) const
{
    const auto known = this->routes.find(route);
    return known == this->routes.end() ? 0 : static_cast<std::size_t>(known->second.bytes);
}

std::optional<std::chrono::milliseconds> RouteStatistics::perTryTimeout(const std::string &route) const
{
    const auto known = this->routes.find(route);
    if (known == this->routes.end() || known->second.responses < minimumResponses) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(minimumPerTryTimeout, known->second.latency * perTryTimeoutFactor));
}

} // namespace Hyssophall
