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
 * Order in which waiting requests of several teams get their turns: start-time fair queueing.
 *
 * A team's share follows its weight, however many requests it sends. Not thread-safe; waiting is up to the user.
 */
class FairQueue
{
public:
    /// Longer queues of one team would only be served after their deadlines.
    static constexpr std::size_t maximumPerTeam = 64;

    /// Names one waiting request.
    using Ticket = std::uint64_t;

    /// Adds a request at the end of its team's queue; nothing when that is full. @p weight is greater than zero.
    std::optional<Ticket> push(const std::string &team, double weight);

    /// Takes the request whose turn it is, or nothing when none waits.
    std::optional<Ticket> pop();

    /// Takes a request out, at its deadline.
    void remove(const std::string &team, Ticket ticket);

    /// Charges a team for a request that got its turn without waiting.
    void charge(const std::string &team, double weight);

    bool empty() const;

private:
    struct TeamQueue {
        std::deque<Ticket> tickets;
        double weight = 1;
        /// Virtual time at which the team's last request ends.
        double finish = 0;
    };

    double start(const TeamQueue &queue) const;
    void forgetIdleTeams();

    std::map<std::string, TeamQueue> teams;
    std::size_t waiting = 0;
    double virtualTime = 0;
    Ticket nextTicket = 1;
};

} // namespace Hyssophall
