#include "process/fleet/claimgroups.h"

#include "process/keyhash.h"

#include <utility>

namespace Hyssophall {

std::string claimKeyHash(std::string_view team, std::string_view idempotencyKey)
{
    std::string text = std::to_string(team.size()) + ":";
    text.append(team).append(idempotencyKey);
    return hashBytes(hashKey(text));
}

std::uint32_t claimGroupOf(std::string_view keyHash)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < 4 && index < keyHash.size(); ++index) {
        value = (value << 8U) | static_cast<unsigned char>(keyHash[index]);
    }
    return value % claimGroupCount;
}

std::shared_ptr<const Committee> ClaimGroups::committeeOf(const Roster &roster, std::uint32_t group)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->hasRoster || this->rosterVersion != roster.version() || this->rosterSize != roster.members().size()) {
        this->committees.clear();
        this->committees.resize(claimGroupCount);
        this->hasRoster = true;
        this->rosterVersion = roster.version();
        this->rosterSize = roster.members().size();
    }
    std::shared_ptr<const Committee> &committee = this->committees[group % claimGroupCount];
    if (committee == nullptr) {
        committee = std::make_shared<const Committee>(Committee::of(roster, "claims:" + std::to_string(group)));
    }
    return committee;
}

std::shared_ptr<const std::set<std::uint32_t>> ClaimGroups::groupsWith(const Roster &roster, const std::string &member)
{
    std::lock_guard<std::mutex> lock(this->memberGroupsMutex);
    const bool isCached = this->memberGroups != nullptr && this->memberGroupsOwner == member && this->memberGroupsRosterVersion == roster.version()
        && this->memberGroupsRosterSize == roster.members().size();
    if (isCached) {
        return this->memberGroups;
    }
    std::set<std::uint32_t> groups;
    const CatalogueMessages::Member *entry = roster.find(member);
    for (std::uint32_t group = 0; entry != nullptr && group < claimGroupCount; ++group) {
        if (Committee::mayInclude(roster, "claims:" + std::to_string(group), *entry) && this->committeeOf(roster, group)->contains(member)) {
            groups.insert(group);
        }
    }
    this->memberGroups = std::make_shared<const std::set<std::uint32_t>>(std::move(groups));
    this->memberGroupsOwner = member;
    this->memberGroupsRosterVersion = roster.version();
    this->memberGroupsRosterSize = roster.members().size();
    return this->memberGroups;
}

} // namespace Hyssophall
