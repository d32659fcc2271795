#include "version/committee.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Hyssophall {

namespace {

using WeightedMember = std::pair<std::uint64_t, const CatalogueMessages::Member *>;

bool hasLowerWeight(const WeightedMember &left, const WeightedMember &right)
{
    return left.first != right.first ? left.first < right.first : left.second->id() > right.second->id();
}

/// A max-heap of the members by weight. A heap is cheaper than sorting, because a committee needs only a few of many members.
std::vector<WeightedMember> createWeightHeap(const Roster &roster, std::string_view name)
{
    std::vector<WeightedMember> weighted;
    weighted.reserve(roster.members().size());
    for (const CatalogueMessages::Member &member : roster.members()) {
        weighted.emplace_back(rendezvousWeight(name, member.id()), &member);
    }
    std::make_heap(weighted.begin(), weighted.end(), hasLowerWeight);
    return weighted;
}

std::size_t domainLimitOf(const Roster &roster)
{
    const std::size_t size = std::min(Committee::maximumSize, roster.members().size());
    const std::size_t domains = std::max<std::size_t>(1, roster.positionsByDomain().size());
    return (size + domains - 1) / domains;
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
    std::vector<WeightedMember> heap = createWeightHeap(roster, name);
    const std::size_t size = std::min(maximumSize, heap.size());
    const std::size_t domainLimit = domainLimitOf(roster);
    std::map<std::string_view, std::size_t> chosenInDomain;
    std::vector<WeightedMember> chosen;
    std::vector<WeightedMember> overDomainLimit;
    while (chosen.size() < size && !heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), hasLowerWeight);
        const WeightedMember candidate = heap.back();
        heap.pop_back();
        std::size_t &count = chosenInDomain[candidate.second->failure_domain()];
        (count < domainLimit ? chosen : overDomainLimit).push_back(candidate);
        ++count;
    }
    // A small failure domain may have fewer members than the limit. The free seats go to the members with the highest weights among those over
    // their domain's limit.
    chosen.insert(
        chosen.end(), overDomainLimit.begin(), overDomainLimit.begin() + static_cast<std::ptrdiff_t>(std::min(size - chosen.size(), overDomainLimit.size())));
    std::sort(chosen.begin(), chosen.end(), [](const WeightedMember &left, const WeightedMember &right) { return hasLowerWeight(right, left); });
    Committee committee;
    for (const WeightedMember &member : chosen) {
        committee.chosenMembers.push_back(*member.second);
    }
    return committee;
}

bool Committee::mayInclude(const Roster &roster, std::string_view name, const CatalogueMessages::Member &member)
{
    const std::size_t domainLimit = domainLimitOf(roster);
    std::size_t availableSeats = 0;
    for (const std::pair<const std::string, std::vector<std::size_t>> &domain : roster.positionsByDomain()) {
        availableSeats += std::min(domainLimit, domain.second.size());
    }
    const auto found = roster.positionsByDomain().find(member.failure_domain());
    if (found == roster.positionsByDomain().end() || availableSeats < std::min(maximumSize, roster.members().size())) {
        return true;
    }
    const WeightedMember weightedMember(rendezvousWeight(name, member.id()), &member);
    std::size_t heavierCount = 0;
    for (const std::size_t position : found->second) {
        const CatalogueMessages::Member &other = roster.members()[position];
        heavierCount += hasLowerWeight(weightedMember, {rendezvousWeight(name, other.id()), &other}) ? 1 : 0;
        if (heavierCount >= domainLimit) {
            return false;
        }
    }
    return true;
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
