#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * The rendezvous winners of many names, kept while members come and go.
 *
 * A new member costs one weight for each name, and a lost one a whole contest for the names that it had. Contests anew for
 * all names would cost the target's 74,000 names x 4,900 members on each change.
 */
class RendezvousAssignment
{
public:
    /// @p members in ascending order.
    void setMembers(const std::vector<std::string> &members);
    const std::vector<std::string> &members() const;

    void add(const std::string &name);
    void remove(const std::string &name);

    /// The winner of a name, added or not; empty without members.
    std::string winnerOf(const std::string &name) const;

    /// All added names that a member wins.
    std::set<std::string> namesOf(const std::string &member) const;

private:
    struct Winner {
        std::string member;
        std::uint64_t weight = 0;
    };

    Winner contest(const std::string &name) const;
    void assign(const std::string &name, Winner &present, Winner next);

    std::vector<std::string> candidates;
    std::map<std::string, Winner, std::less<>> winners;
    std::map<std::string, std::set<std::string>, std::less<>> namesByWinner;
};

} // namespace Hyssophall
