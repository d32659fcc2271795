#include "process/limits/fairqueue.h"

#include <algorithm>

namespace Hyssophall {

namespace {

// Teams without waiting requests are kept up to this count, so that the map stays small among 240,000 teams.
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
    ++this->waiting;
    return this->nextTicket++;
}

std::optional<FairQueue::Ticket> FairQueue::pop()
{
    auto chosen = this->teams.end();
    for (auto team = this->teams.begin(); team != this->teams.end(); ++team) {
        const bool waits = !team->second.tickets.empty();
        if (waits && (chosen == this->teams.end() || this->start(team->second) < this->start(chosen->second))) {
            chosen = team;
        }
    }
    if (chosen == this->teams.end()) {
        return std::nullopt;
    }
    const Ticket ticket = chosen->second.tickets.front();
    chosen->second.tickets.pop_front();
    --this->waiting;
    this->charge(chosen->first, chosen->second.weight);
    return ticket;
}

void FairQueue::remove(const std::string &team, Ticket ticket)
{
    const auto queue = this->teams.find(team);
    if (queue == this->teams.end()) {
        return;
    }
    this->waiting -= std::erase(queue->second.tickets, ticket);
}

void FairQueue::charge(const std::string &team, double weight)
{
    TeamQueue &queue = this->teams[team];
    queue.weight = weight;
    const double begin = this->start(queue);
    queue.finish = begin + 1 / weight;
    this->virtualTime = std::max(this->virtualTime, begin);
    this->forgetIdleTeams();
}

bool FairQueue::empty() const
{
    return this->waiting == 0;
}

double FairQueue::start(const TeamQueue &queue) const
{
    return std::max(this->virtualTime, queue.finish);
}

void FairQueue::forgetIdleTeams()
{
    if (this->teams.size() <= idleTeamsKept) {
        return;
    }
    std::erase_if(this->teams,
        [this](const std::pair<const std::string, TeamQueue> &team) { return team.second.tickets.empty() && team.second.finish <= this->virtualTime; });
}

} // namespace Hyssophall
