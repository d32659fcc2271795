#include "process/relay/teamusemonitor.h"

#include "process/relay/admissionmessages.h"

#include <glog/logging.h>

#include <algorithm>

namespace Hyssophall {

namespace {

/// Longest time between two calls of recordVisibleShare() for which updates count as received. It is called with each message to a VM, several times
/// a second.
constexpr std::chrono::milliseconds maximumUpdateGap{500};
/// Least time between two log messages about the same team.
constexpr std::chrono::seconds reportInterval{1};

} // namespace

TeamUseMonitor::TeamUseMonitor(std::chrono::milliseconds window, SteadyTime startedAt)
    : window(window)
    , history(window, startedAt)
    , visibleUntil(startedAt)
{
}

void TeamUseMonitor::add(const Update &update, const Configuration &configuration, SteadyTime now)
{
    if (this->window.count() == 0) {
        return;
    }
    this->updateLimits(configuration);
    for (const hyssophall::relay::v1::TeamUse &use : update.teams()) {
        this->history.add(use.team(), use.admitted(), now);
        const auto team = this->limits.find(use.team());
        if (team == this->limits.end()) {
            continue;
        }
        const double admitted = this->history.admitted(use.team(), now);
        const double limit = team->second;
        const auto last = this->lastReported.find(use.team());
        if (admitted > limit && (last == this->lastReported.end() || now - last->second >= reportInterval)) {
            this->lastReported[use.team()] = now;
            LOG(WARNING) << "Team " << use.team() << " was admitted " << admitted << " requests in the last " << this->window.count()
                         << " ms, over all VMs that this relay receives updates from; its limit is " << limit;
        }
    }
}

void TeamUseMonitor::updateLimits(const Configuration &configuration)
{
    if (configuration.version() == this->limitsVersion) {
        return;
    }
    this->limitsVersion = configuration.version();
    this->limits.clear();
    for (const hyssophall::catalogue::v1::Team &team : configuration.teams()) {
        if (team.rate() > 0) {
            this->limits[team.name()] = this->limitOf(team);
        }
    }
}

void TeamUseMonitor::recordVisibleShare(double share, SteadyTime now)
{
    // After a longer gap, the process was suspended and didn't receive the updates of that time.
    const SteadyTime from = now - this->visibleUntil < maximumUpdateGap ? this->visibleUntil : now;
    this->history.recordVisibleShare(from, now, share);
    this->visibleUntil = now;
}

double TeamUseMonitor::largestUse(const Configuration &configuration, SteadyTime now)
{
    double largest = 0;
    for (const hyssophall::catalogue::v1::Team &team : configuration.teams()) {
        if (this->window.count() > 0 && team.rate() > 0) {
            largest = std::max(largest, this->history.admitted(team.name(), now) / this->limitOf(team));
        }
    }
    return largest;
}

void TeamUseMonitor::addRecord(Update &update, SteadyTime now) const
{
    if (this->window.count() > 0) {
        *update.mutable_admissions() = encodeAdmissions(this->history.record(now));
    }
}

UnreportedAdmissions TeamUseMonitor::addUnreported(const UnreportedAdmissions &unreported, double vmShare, SteadyTime now)
{
    return this->window.count() == 0 ? unreported : this->history.addUnreported(unreported, vmShare, now);
}

void TeamUseMonitor::setReportedUntil(const std::string &vm, SteadyTime until)
{
    this->history.setReportedUntil(vm, until);
}

void TeamUseMonitor::limitVisibleShare(SteadyTime from, double share)
{
    this->history.limitVisibleShare(from, share);
}

void TeamUseMonitor::fillGaps(const Update &update, SteadyTime now)
{
    SteadyTime until = SteadyTime::max();
    if (!update.greeting().relay_address().empty()) {
        for (const hyssophall::relay::v1::UnreportedAdmissions &unreported : update.unreported()) {
            until = std::min(until, now - std::chrono::milliseconds(unreported.from_age_milliseconds()));
        }
    }
    this->history.fillGaps(decodeAdmissions(update.admissions()), now, until);
}

double TeamUseMonitor::limitOf(const hyssophall::catalogue::v1::Team &team) const
{
    const std::chrono::duration<double> length = this->window;
    return team.rate() * length.count() + team.burst();
}

} // namespace Hyssophall
