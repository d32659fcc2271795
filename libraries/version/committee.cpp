#include "version/committee.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

using WeightedMember = std::pair<std::uint64_t, const CatalogueMessages::Member *>;

std::vector<WeightedMember> membersByWeight(const Roster &roster, std::string_view name)
{
    std::vector<WeightedMember> weighted;
    weighted.reserve(roster.members().size());
    for (const CatalogueMessages::Member &member : roster.members()) {
        weighted.emplace_back(rendezvousWeight(name, member.id()), &member);
    }
    std::sort(weighted.begin(), weighted.end(), [](const WeightedMember &left, const WeightedMember &right) {
        return left.first != right.first ? left.first > right.first : left.second->id() < right.second->id();
    });
    return weighted;
}

std::size_t countDomains(const Roster &roster)
{
    std::set<std::string_view> domains;
    for (const CatalogueMessages::Member &member : roster.members()) {
        domains.insert(member.failure_domain());
    }
    return domains.size();
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view name, std::string_view memberId)
{
    const std::uint64_t nameHash = XXH64(name.data(), name.size(), 0);
    return XXH64(memberId.data(), memberId.size(), nameHash);
}

std::string rendezvousWinner(std::string_view name, const std::vector<std::string> &candidateIds)
{
    std::string winner;
    std::uint64_t winnerWeight = 0;
    for (const std::string &candidate : candidateIds) {
        const std::uint64_t weight = rendezvousWeight(name, candidate);
        if (winner.empty() || weight > winnerWeight || (weight == winnerWeight && candidate < winner)) {
            winner = candidate;
            winnerWeight = weight;
        }
    }
    return winner;
}

Committee Committee::of(const Roster &roster, std::string_view name)
{
    Committee committee;
    const std::vector<WeightedMember> weighted = membersByWeight(roster, name);
    const std::size_t size = std::min(maximumSize, weighted.size());
    const std::size_t domains = std::max<std::size_t>(1, countDomains(roster));
    const std::size_t domainLimit = (size + domains - 1) / domains;
    std::map<std::string_view, std::size_t> chosenInDomain;
    std::set<const CatalogueMessages::Member *> chosen;
    for (const WeightedMember &candidate : weighted) {
        std::size_t &count = chosenInDomain[candidate.second->failure_domain()];
        if (chosen.size() < size && count < domainLimit) {
            ++count;
            chosen.insert(candidate.second);
        }
    }
    // Small failure domains may not fill their share; the rest goes to the heaviest members left.
    for (const WeightedMember &candidate : weighted) {
        if (chosen.size() < size) {
            chosen.insert(candidate.second);
        }
    }
    for (const WeightedMember &candidate : weighted) {
        if (chosen.contains(candidate.second)) {
            committee.chosenMembers.push_back(*candidate.second);
        }
    }
    return committee;
}

std::size_t Committee::quorumOf(std::size_t size)
{
    if (size <= 4) {
        return size / 2 + 1;
    }
    return (2 * size + 2) / 3;
}

const std::vector<CatalogueMessages::Member> &Committee::members() const
{
    return this->chosenMembers;
}

std::size_t Committee::quorum() const
{
    return quorumOf(this->chosenMembers.size());
}

bool Committee::contains(std::string_view memberId) const
{
    return std::any_of(
        this->chosenMembers.begin(), this->chosenMembers.end(), [memberId](const CatalogueMessages::Member &member) { return member.id() == memberId; });
}

} // namespace Hyssophall
