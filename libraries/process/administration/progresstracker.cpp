#include "process/administration/progresstracker.h"

#include "version/committee.h"

#include <algorithm>
#include <utility>

namespace Hyssophall::Administration {

namespace {

bool hasVersion(const std::map<std::string, MemberView::MemberStatus> &statuses, const std::string &id, std::uint64_t version)
{
    const auto position = statuses.find(id);
    return position != statuses.end() && position->second.catalogueVersion >= version;
}

bool isGone(const std::map<std::string, MemberView::MemberStatus> &statuses, const std::string &id)
{
    const auto position = statuses.find(id);
    return position == statuses.end() || position->second.liveness == Liveness::Dead || position->second.liveness == Liveness::Leaving;
}

} // namespace

ProgressTracker::ProgressTracker(std::chrono::milliseconds leaseExpiry, SteadyClock clock)
    : leaseExpiry(leaseExpiry)
    , clock(std::move(clock))
{
}

Progress ProgressTracker::progress(std::uint64_t version, const Roster &roster, const std::vector<MemberView::MemberStatus> &statuses)
{
    StatusById byId;
    for (const MemberView::MemberStatus &status : statuses) {
        byId.emplace(status.id, status);
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    Progress progress;
    progress.members = roster.members().size();
    for (const CatalogueMessages::Member &member : roster.members()) {
        if (hasVersion(byId, member.id(), version)) {
            ++progress.confirmed;
        } else if (isGone(byId, member.id()) && this->isLeaseExpired(version, roster, member, byId)) {
            ++progress.expired;
        } else {
            progress.pending.push_back(member.id());
        }
    }
    // With an empty roster it is unknown which VMs need the version.
    progress.inForce = progress.pending.empty() && progress.members > 0;
    return progress;
}

bool ProgressTracker::isLeaseExpired(std::uint64_t version, const Roster &roster, const CatalogueMessages::Member &member, const StatusById &statuses)
{
    const Committee committee = Committee::of(roster, "vm:" + member.id());
    const std::size_t informed
        = static_cast<std::size_t>(std::count_if(committee.members().begin(), committee.members().end(), [&](const CatalogueMessages::Member &voter) {
              return voter.id() != member.id() && hasVersion(statuses, voter.id(), version);
          }));
    // So many voters that every quorum contains at least one of them.
    const std::size_t needed = committee.members().size() - committee.quorum() + 1;
    if (informed < needed) {
        return false;
    }
    const SteadyTime now = this->clock();
    const SteadyTime since = this->informedSince[version].emplace(member.id(), now).first->second;
    while (this->informedSince.size() > maximumKeptVersions) {
        this->informedSince.erase(this->informedSince.begin()->first == version ? std::next(this->informedSince.begin()) : this->informedSince.begin());
    }
    return now - since >= this->leaseExpiry;
}

} // namespace Hyssophall::Administration
