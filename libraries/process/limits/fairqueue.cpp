#include "process/limits/fairqueue.h"

#include <algorithm>

namespace Hyssophall {

namespace {

// Idle teams are removed when the map has more entries than this, because a fleet may have 240,000 teams and pop() goes through all entries.
constexpr std::size_t idleTeamsKept = 256;

} // namespace

std::optional<FairQueue::Ticket> FairQueue::push(const std::string &team, double weight)
{
    TeamQueue &queue = this->teams[team];
    if (queue.tickets.size() >= maximumPerTeam) {
        return std::nullopt;
    }
    queue.weight = weight;
    queue.tickets.push_back(this->nextTicket);
    ++this->waitingCount;
    return this->nextTicket++;
}

std::optional<FairQueue::Ticket> FairQueue::pop()
{
    auto chosen = this->teams.end();
    for (auto team = this->teams.begin(); team != this->teams.end(); ++team) {
        const bool waits = !team->second.tickets.empty();
        if (waits && (chosen == this->teams.end() || this->nextStartTag(team->second) < this->nextStartTag(chosen->second))) {
            chosen = team;
        }
    }
    if (chosen == this->teams.end()) {
        return std::nullopt;
    }
    const Ticket ticket = chosen->second.tickets.front();
    chosen->second.tickets.pop_front();
    --this->waitingCount;
    this->charge(chosen->first, chosen->second.weight);
    return ticket;
}

void FairQueue::remove(const std::string &team, Ticket ticket)
{
    const auto queue = this->teams.find(team);
    if (queue == this->teams.end()) {
        return;
    }
    this->waitingCount -= std::erase(queue->second.tickets, ticket);
}

void FairQueue::charge(const std::string &team, double weight)
{
    TeamQueue &queue = this->teams[team];
    queue.weight = weight;
    const double startTag = this->nextStartTag(queue);
    queue.finishTag = startTag + 1 / weight;
    this->virtualTime = std::max(this->virtualTime, startTag);
    this->removeIdleTeams();
}

bool FairQueue::empty() const
{
    return this->waitingCount == 0;
}

double FairQueue::nextStartTag(const TeamQueue &queue) const
{
    return std::max(this->virtualTime, queue.finishTag);
}

void FairQueue::removeIdleTeams()
{
    if (this->teams.size() <= idleTeamsKept) {
        return;
    }
    std::erase_if(this->teams,
        [this](const std::pair<const std::string, TeamQueue> &team) { return team.second.tickets.empty() && team.second.finishTag <= this->virtualTime; });
}

} // namespace Hyssophall
