#pragma once

#include "process/limits/admissionhistory.h"
#include "relay.pb.h"
#include "version/configuredcatalogue.h"

#include <chrono>
#include <map>
#include <string>

namespace Hyssophall {

/// What teams were admitted over all VMs that a relay heard, beside their limits. Not thread-safe.
class TeamUseMonitor
{
public:
    using Configuration = hyssophall::catalogue::v1::Configuration;
    using News = hyssophall::relay::v1::News;

    /// @p window is that over which the deployment counts limits; zero: nothing is kept.
    TeamUseMonitor(std::chrono::milliseconds window, SteadyTime began);

    /// Counts what @p news tells, and reports teams that are over their limits.
    void add(const News &news, const Configuration &configuration, SteadyTime now);

    /// Notes that @p share of the fleet's VMs is heard at present.
    void noteHeard(double share, SteadyTime now);

    /// The largest part of its limit that any team was admitted in the last window; 1 is the whole limit.
    double largest(const Configuration &configuration, SteadyTime now);

    /// Adds to @p news what the window held.
    void tell(News &news, SteadyTime now) const;

    /// Takes over what another VM tells of times at which nobody was heard here.
    void fillGaps(const News &news, SteadyTime now);

private:
    double limitOf(const hyssophall::catalogue::v1::Team &team) const;

    const std::chrono::milliseconds window;
    AdmissionHistory history;
    SteadyTime heardUntil;
    /// When each team was last reported to be over its limit.
    std::map<std::string, SteadyTime> reported;
};

} // namespace Hyssophall
