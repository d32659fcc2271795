#include "process/relay/teamusemonitor.h"

#include "process/relay/admissionmessages.h"

#include <glog/logging.h>

#include <algorithm>

namespace Hyssophall {

namespace {

/// VMs that are heard are counted with each message to a VM, several times a second.
constexpr std::chrono::milliseconds longestHearingPause{500};
/// A team over its limit is reported no more often.
constexpr std::chrono::seconds reportInterval{1};

} // namespace

TeamUseMonitor::TeamUseMonitor(std::chrono::milliseconds window, SteadyTime began)
    : window(window)
    , history(window, began)
    , heardUntil(began)
{
}

void TeamUseMonitor::add(const News &news, const Configuration &configuration, SteadyTime now)
{
    if (this->window.count() == 0) {
        return;
    }
    for (const hyssophall::relay::v1::TeamUse &use : news.teams()) {
        this->history.add(use.team(), use.admitted(), now);
        const auto team = std::find_if(configuration.teams().begin(), configuration.teams().end(), [&use](const hyssophall::catalogue::v1::Team &each) {
            return each.name() == use.team();
        });
        if (team == configuration.teams().end() || team->rate() <= 0) {
            continue;
        }
        const double admitted = this->history.admitted(use.team(), now);
        const double limit = this->limitOf(*team);
        const auto last = this->reported.find(use.team());
        if (admitted > limit && (last == this->reported.end() || now - last->second >= reportInterval)) {
            this->reported[use.team()] = now;
            LOG(WARNING) << "Team " << use.team() << " was admitted " << admitted << " requests in the last " << this->window.count()
                         << " ms, over all VMs that were heard; its limit is " << limit;
        }
    }
}

void TeamUseMonitor::noteHeard(double share, SteadyTime now)
{
    // A relay that stood still didn't hear what happened meanwhile.
    const SteadyTime from = now - this->heardUntil < longestHearingPause ? this->heardUntil : now;
    this->history.recordVisibleShare(from, now, share);
    this->heardUntil = now;
}

double TeamUseMonitor::largest(const Configuration &configuration, SteadyTime now)
{
    double largest = 0;
    for (const hyssophall::catalogue::v1::Team &team : configuration.teams()) {
        if (this->window.count() > 0 && team.rate() > 0) {
            largest = std::max(largest, this->history.admitted(team.name(), now) / this->limitOf(team));
        }
    }
    return largest;
}

void TeamUseMonitor::tell(News &news, SteadyTime now) const
{
    if (this->window.count() > 0) {
        *news.mutable_admissions() = encodeAdmissions(this->history.record(now));
    }
}

void TeamUseMonitor::fillGaps(const News &news, SteadyTime now)
{
    this->history.fillGaps(decodeAdmissions(news.admissions()), now);
}

double TeamUseMonitor::limitOf(const hyssophall::catalogue::v1::Team &team) const
{
    const std::chrono::duration<double> length = this->window;
    return team.rate() * length.count() + team.burst();
}

} // namespace Hyssophall
