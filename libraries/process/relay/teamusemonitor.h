#pragma once

#include "process/limits/admissionhistory.h"
#include "relay.pb.h"
#include "version/configuredcatalogue.h"

#include <chrono>
#include <map>
#include <string>

namespace Hyssophall {

/// Compares the requests that were admitted for each team, over all VMs that a relay receives updates from, with the team's limit. Not
/// thread-safe.
class TeamUseMonitor
{
public:
    using Configuration = hyssophall::catalogue::v1::Configuration;
    using Update = hyssophall::relay::v1::Update;

    /// @p window is the time over which the deployment counts limits. When it is zero, the monitor does nothing.
    TeamUseMonitor(std::chrono::milliseconds window, SteadyTime startedAt);

    /// Adds the admissions in @p update, and logs teams that are over their limits.
    void add(const Update &update, const Configuration &configuration, SteadyTime now);

    /// Records that the relay receives updates from @p share of the fleet's VMs (0 to 1) at present.
    void recordVisibleShare(double share, SteadyTime now);

    /// The largest ratio of admissions in the last window to the limit, over all teams; 1 is the whole limit.
    double largestUse(const Configuration &configuration, SteadyTime now);

    /// Adds the record of admissions in the window to @p update.
    void addRecord(Update &update, SteadyTime now) const;

    /// Adds admissions that weren't reported here before, and returns what was added. @p vmShare is the share of the fleet of one VM.
    UnreportedAdmissions addUnreported(const UnreportedAdmissions &unreported, double vmShare, SteadyTime now);

    /// Records that all reports of @p vm up to @p until have arrived.
    void setReportedUntil(const std::string &vm, SteadyTime until);

    /// Limits the share that was recorded from @p from on, before a loss of VMs was noticed.
    void limitVisibleShare(SteadyTime from, double share);

    /// Adds the admissions that another VM or relay recorded during times for which this relay received no updates. A relay reports those since it lost
    /// this one as unreported, so they aren't taken from its record.
    void fillGaps(const Update &update, SteadyTime now);

private:
    /// Looks the limits up again if the configuration has changed.
    void updateLimits(const Configuration &configuration);
    double limitOf(const hyssophall::catalogue::v1::Team &team) const;

    const std::chrono::milliseconds window;
    AdmissionHistory history;
    SteadyTime visibleUntil;
    /// Requests that each team with a limit may use in a window, by its name, and the version of the configuration that says so.
    std::map<std::string, double> limits;
    std::uint64_t limitsVersion = 0;
    /// When each team was last reported to be over its limit.
    std::map<std::string, SteadyTime> lastReported;
};

} // namespace Hyssophall
