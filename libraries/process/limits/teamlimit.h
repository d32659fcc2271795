#pragma once

#include <functional>
#include <optional>
#include <string>

namespace Hyssophall {

/// Request rate limit of a team in the whole fleet.
struct TeamLimit {
    /// Requests per second.
    double rate = 0;
    /// Number of requests that may arrive at once beyond the rate: the size of the token bucket.
    double burst = 0;

    bool operator==(const TeamLimit &) const = default;
};

/// Returns a team's limit from the current catalogue, or nothing for a team that isn't in it. Must be thread-safe and must not block.
using TeamLimitSource = std::function<std::optional<TeamLimit>(const std::string &)>;

} // namespace Hyssophall
