#pragma once

#include "fleet.pb.h"
#include "process/hooks.h"
#include "process/limits/ratelimiter.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <list>
#include <optional>

namespace Hyssophall {

/// A caller that waits for one token. Each has a condition variable of its own, so that a token wakes exactly one caller.
struct TokenWaiter {
    std::condition_variable changed;
    bool granted = false;
    SteadyTime since;
};

/**
 * The tokens of one team that this VM borrowed, and the callers that wait for more. Pure; the limiter guards it with a lock.
 */
class TeamTokens
{
public:
    struct Options {
        /// Demand that a batch covers.
        std::chrono::milliseconds batchSpan{100};
        /// Tokens that weren't used for this long go back to the owner.
        std::chrono::milliseconds idleTime{500};
        /// Tokens of a process that was stopped for longer than this are void, so that they don't come on top of a later burst.
        std::chrono::milliseconds lifetime{2000};
        /// Bounds of the pause before an owner that had too few tokens is asked again. The longest is below a caller's wait, so that a refusal
        /// always rests on an answer that came during the wait.
        std::chrono::milliseconds shortestPause{10};
        std::chrono::milliseconds longestPause{100};
        std::chrono::milliseconds failurePause{25};
        /// How long an answer speaks for the owner. An owner is asked again after the longest pause, so one whose last answer is twice as old
        /// no longer answers: it may have handed over the team.
        std::chrono::milliseconds verdictLife{200};
    };
    struct Ask {
        double wanted = 0;
        double returned = 0;
    };

    TeamTokens(const Options &options, SteadyTime now);

    /// Takes a token at hand. Callers that wait come first.
    bool tryTake(SteadyTime now);
    void enqueue(TokenWaiter &waiter, SteadyTime now);
    void remove(TokenWaiter &waiter);
    void giveBack(SteadyTime now);

    /// True once when the borrower should look at the team before its next regular round.
    bool shouldWake();

    /// Whether ask() has something to ask. Called in each visit of the borrower.
    bool isDue(SteadyTime now);

    /// What to ask of the owner now, or nothing. Returned tokens are gone from here in any case.
    std::optional<Ask> ask(SteadyTime now);

    /// Takes the answer to a request that was sent at @p asked.
    void takeLoan(const hyssophall::fleet::v1::TokenLoan &loan, SteadyTime asked, SteadyTime now);
    void takeFailure(SteadyTime now);

    /// The decision for a caller whose wait is over without a token.
    RateDecision refusal(const TokenWaiter &waiter, SteadyTime now) const;

    /// When an owner last couldn't be asked or held no lease, or nothing when that never happened.
    std::optional<SteadyTime> lastFailure() const;

    bool hasWaiters() const;
    /// The earliest time of the next request while callers wait.
    SteadyTime nextAsk() const;
    /// True when nothing is lost by forgetting the team.
    bool isIdle(SteadyTime now) const;

private:
    Ask plan(SteadyTime now) const;
    void serveWaiters();
    void updateDemand(SteadyTime now);
    std::size_t target() const;

    const Options &options;
    std::size_t tokens = 0;
    SteadyTime borrowed;
    SteadyTime lastUse;
    SteadyTime windowStart;
    std::size_t windowCount = 0;
    /// Calls in one batch span, smoothed.
    double demand = 0;
    bool woken = false;
    bool asking = false;
    SteadyTime earliestAsk;
    std::list<TokenWaiter *> waiters;
    RateDecision verdict;
    SteadyTime verdictTime;
    std::optional<SteadyTime> failure;
};

} // namespace Hyssophall
