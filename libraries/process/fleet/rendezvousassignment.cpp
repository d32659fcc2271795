#include "process/fleet/rendezvousassignment.h"

#include "version/committee.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hyssophall {

RendezvousAssignment::Winner RendezvousAssignment::computeWinner(const std::string &name) const
{
    const std::string member = rendezvousWinner(name, this->candidates);
    return {member, member.empty() ? 0 : rendezvousWeight(name, member)};
}

void RendezvousAssignment::setMembers(const std::vector<std::string> &members)
{
    std::vector<std::string> added;
    std::set_difference(members.begin(), members.end(), this->candidates.begin(), this->candidates.end(), std::back_inserter(added));
    const bool hasRemoved = this->candidates.size() + added.size() != members.size();
    if (added.empty() && !hasRemoved) {
        return;
    }
    this->candidates = members;
    for (std::pair<const std::string, Winner> &entry : this->winners) {
        const std::string &name = entry.first;
        Winner &winner = entry.second;
        if (winner.member.empty() || (hasRemoved && !std::binary_search(members.begin(), members.end(), winner.member))) {
            this->assign(name, winner, this->computeWinner(name));
            continue;
        }
        for (const std::string &member : added) {
            const std::uint64_t weight = rendezvousWeight(name, member);
            if (weight > winner.weight || (weight == winner.weight && member < winner.member)) {
                this->assign(name, winner, {member, weight});
            }
        }
    }
}

const std::vector<std::string> &RendezvousAssignment::members() const
{
    return this->candidates;
}

void RendezvousAssignment::add(const std::string &name)
{
    const auto [position, isNew] = this->winners.try_emplace(name);
    if (isNew) {
        this->assign(name, position->second, this->computeWinner(name));
    }
}

void RendezvousAssignment::remove(const std::string &name)
{
    const std::map<std::string, Winner, std::less<>>::iterator found = this->winners.find(name);
    if (found != this->winners.end()) {
        this->assign(name, found->second, {});
        this->winners.erase(found);
    }
}

std::string RendezvousAssignment::winnerOf(const std::string &name) const
{
    const std::map<std::string, Winner, std::less<>>::const_iterator found = this->winners.find(name);
    return found == this->winners.end() ? rendezvousWinner(name, this->candidates) : found->second.member;
}

std::set<std::string> RendezvousAssignment::namesAssignedTo(const std::string &member) const
{
    const std::map<std::string, std::set<std::string>, std::less<>>::const_iterator found = this->namesByWinner.find(member);
    return found == this->namesByWinner.end() ? std::set<std::string>() : found->second;
}

void RendezvousAssignment::assign(const std::string &name, Winner &current, Winner next)
{
    const std::map<std::string, std::set<std::string>, std::less<>>::iterator previous = this->namesByWinner.find(current.member);
    if (previous != this->namesByWinner.end()) {
        previous->second.erase(name);
        if (previous->second.empty()) {
            this->namesByWinner.erase(previous);
        }
    }
    if (!next.member.empty()) {
        this->namesByWinner[next.member].insert(name);
    }
    current = std::move(next);
}

} // namespace Hyssophall
