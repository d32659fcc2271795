#include "rostersettlement.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

std::shared_ptr<RosterSettlement> RosterSettlement::create(
    CatalogueStore &store, const MemberView &members, SteadyClock clock, std::chrono::milliseconds leaseExpiry)
{
    const std::shared_ptr<RosterSettlement> settlement(new RosterSettlement(members, std::move(clock), leaseExpiry));
    settlement->recordRosterChange(*store.current());
    store.addListener([settlement](const std::shared_ptr<const Catalogue> &catalogue) { settlement->recordRosterChange(*catalogue); });
    return settlement;
}

RosterSettlement::RosterSettlement(const MemberView &members, SteadyClock clock, std::chrono::milliseconds leaseExpiry)
    : members(members)
    , clock(std::move(clock))
    , leaseExpiry(leaseExpiry)
{
}

bool RosterSettlement::isSettled() const
{
    const std::vector<MemberView::MemberStatus> statuses = this->members.members();
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool leasesExpired = this->clock() - this->changedAt >= this->leaseExpiry;
    return std::all_of(statuses.begin(), statuses.end(), [this, leasesExpired](const MemberView::MemberStatus &status) {
        const bool isGone = status.liveness == Liveness::Dead || status.liveness == Liveness::Leaving;
        return status.catalogueVersion >= this->catalogueVersion || (isGone && leasesExpired);
    });
}

void RosterSettlement::recordRosterChange(const Catalogue &catalogue)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (catalogue.roster().version() > this->rosterVersion) {
        this->rosterVersion = catalogue.roster().version();
        this->catalogueVersion = catalogue.version();
        this->changedAt = this->clock();
    }
}

} // namespace Hyssophall
