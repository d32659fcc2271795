#pragma once

#include <functional>
#include <optional>
#include <string>

namespace Hyssophall {

/// A team's fleet-wide limit.
struct TeamLimit {
    /// Requests per second.
    double rate = 0;
    /// Requests that may come at once beyond the rate.
    double burst = 0;

    bool operator==(const TeamLimit &) const = default;
};

/// The limit of a team in the catalogue in force, or nothing for a team that it doesn't have. Thread-safe, non-blocking.
using TeamLimitSource = std::function<std::optional<TeamLimit>(const std::string &)>;

} // namespace Hyssophall
