#pragma once

#include "version/roster.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

/// Weight of a member for a name in rendezvous hashing. It must be the same on all VMs and in all builds.
std::uint64_t rendezvousWeight(std::string_view name, std::string_view memberId);

/// The candidate with the highest rendezvous weight for @p name, or an empty string without candidates.
std::string rendezvousWinner(std::string_view name, const std::vector<std::string> &candidateIds);

/**
 * The members of the roster that vote on one name: a shard, a VM's serving lease or a claim.
 *
 * A committee has up to nine members, so that each of three failure domains has three. After the loss of one domain, the remaining six are a
 * quorum. Quorums of the committees of two roster versions intersect as long as these committees differ in at most two members.
 */
class Committee
{
public:
    static constexpr std::size_t maximumSize = 9;

    /// Selects the members with the highest rendezvous weights for @p name, spread evenly over failure domains.
    static Committee of(const Roster &roster, std::string_view name);

    /// A fast pre-check: false means that @p member isn't in the committee of @p name, true that it may be. It computes only the weights of
    /// the member's own failure domain, which in a fleet of many domains is a small part of the cost of of().
    static bool mayInclude(const Roster &roster, std::string_view name, const CatalogueMessages::Member &member);

    /// Number of votes that decide in a committee of @p size members: a majority for up to 4 members, else two thirds, rounded up.
    static std::size_t quorumOf(std::size_t size);

    const std::vector<CatalogueMessages::Member> &members() const;
    std::size_t quorum() const;
    bool contains(std::string_view memberId) const;

private:
    std::vector<CatalogueMessages::Member> chosenMembers;
};

} // namespace Hyssophall
