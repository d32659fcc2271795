#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Assigns each of many names to a member by rendezvous hashing, and updates the assignment as members join and leave.
 *
 * A new member costs one weight for each name. A removed member costs the weights of all members for each name that was assigned to it.
 * Recomputing all names on each change would cost 74,000 names x 4,900 members at the target size of the fleet.
 */
class RendezvousAssignment
{
public:
    /// @p members in ascending order.
    void setMembers(const std::vector<std::string> &members);
    const std::vector<std::string> &members() const;

    void add(const std::string &name);
    void remove(const std::string &name);

    /// The member with the greatest weight for a name, whether the name was added or not. Empty without members.
    std::string winnerOf(const std::string &name) const;

    /// All added names that are assigned to a member.
    std::set<std::string> namesAssignedTo(const std::string &member) const;

private:
    struct Winner {
        std::string member;
        std::uint64_t weight = 0;
    };

    Winner computeWinner(const std::string &name) const;
    void assign(const std::string &name, Winner &current, Winner next);

    std::vector<std::string> candidates;
    std::map<std::string, Winner, std::less<>> winners;
    std::map<std::string, std::set<std::string>, std::less<>> namesByWinner;
};

} // namespace Hyssophall
