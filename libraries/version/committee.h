#pragma once

#include "version/roster.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

/// Rendezvous weight of a member for a name. Equal on all VMs and in all builds.
std::uint64_t rendezvousWeight(std::string_view name, std::string_view memberId);

/// The candidate with the highest rendezvous weight for @p name, or an empty string without candidates.
std::string rendezvousWinner(std::string_view name, const std::vector<std::string> &candidateIds);

/**
 * The members of the roster that vote on one name (a shard, a VM's serving lease, a claim).
 *
 * Nine members are taken, so that three failure domains give three each: losing one of three leaves six, which is the quorum.
 * Two quorums meet in a member as long as the two rosters' committees differ in at most two members.
 */
class Committee
{
public:
    static constexpr std::size_t maximumSize = 9;

    /// Chooses the committee of @p name, spread over failure domains.
    static Committee of(const Roster &roster, std::string_view name);

    /// False when @p member is certainly not in the committee of @p name. Looks at the member's failure domain only, which costs a small
    /// part of choosing the committee in a fleet of many domains.
    static bool mayInclude(const Roster &roster, std::string_view name, const CatalogueMessages::Member &member);

    /// Votes that decide for a committee of @p size: a majority up to 4, else two thirds, rounded up.
    static std::size_t quorumOf(std::size_t size);

    const std::vector<CatalogueMessages::Member> &members() const;
    std::size_t quorum() const;
    bool contains(std::string_view memberId) const;

private:
    std::vector<CatalogueMessages::Member> chosenMembers;
};

} // namespace Hyssophall
