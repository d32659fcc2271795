#pragma once

#include "process/hooks.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace Hyssophall {

/**
 * Start-time fair queue of the waiting requests of several teams.
 *
 * Each team gets a share of the turns in proportion to its weight, however many requests it sends. The queue only determines the order; callers
 * block on their own. Not thread-safe.
 */
class FairQueue
{
public:
    /// Most requests of one team that may wait. Requests at the end of a longer queue would pass their deadlines before their turn.
    static constexpr std::size_t maximumPerTeam = 64;

    /// Identifies one waiting request.
    using Ticket = std::uint64_t;

    /// Adds a request at the end of its team's queue. Returns nothing when that queue is full. @p weight must be greater than zero.
    std::optional<Ticket> push(const std::string &team, double weight);

    /// Removes and returns the request whose turn is next, or nothing when none waits. Charges its team.
    std::optional<Ticket> pop();

    /// Removes a request that gave up waiting, such as at its deadline.
    void remove(const std::string &team, Ticket ticket);

    /// Charges a team for a request that proceeds without waiting.
    void charge(const std::string &team, double weight);

    bool empty() const;

private:
    struct TeamQueue {
        std::deque<Ticket> tickets;
        double weight = 1;
        /// Virtual time at which the team's last served request ends.
        double finishTag = 0;
    };

    /// Virtual time at which the team's next request starts. The lowest is served next.
    double nextStartTag(const TeamQueue &queue) const;
    void removeIdleTeams();

    std::map<std::string, TeamQueue> teams;
    std::size_t waitingCount = 0;
    double virtualTime = 0;
    Ticket nextTicket = 1;
};

} // namespace Hyssophall
