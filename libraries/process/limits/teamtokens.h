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

/// A caller that waits for one token. Each has its own condition variable, so that a token wakes exactly one caller.
struct TokenWaiter {
    std::condition_variable condition;
    bool granted = false;
    /// When the caller began to wait.
    SteadyTime waitStart;
};

/**
 * The tokens of one team that this VM has borrowed, and the callers that wait for more. Plans when to request or return tokens; does no I/O.
 *
 * Not thread-safe: BorrowingRateLimiter protects it with the mutex of the team's stripe.
 */
class TeamTokens
{
public:
    struct Options {
        /// Period whose expected demand one request for tokens covers.
        std::chrono::milliseconds batchPeriod{100};
        /// Tokens are returned to the owner after the team has sent no request for this long.
        std::chrono::milliseconds idleTime{500};
        /// Tokens expire at this age. A process that was stopped for longer would otherwise admit them in addition to a later burst.
        std::chrono::milliseconds lifetime{2000};
        /// Bounds of the delay before the next request to an owner that had too few tokens. The upper bound is below a caller's longest wait, so
        /// that a refusal always rests on a reply that arrived during the wait.
        std::chrono::milliseconds minimumRetryDelay{10};
        std::chrono::milliseconds maximumRetryDelay{100};
        /// Delay before the next request after a failed one.
        std::chrono::milliseconds failureRetryDelay{25};
        /// Age up to which a reply of the owner is valid for refusing callers: twice maximumRetryDelay. An owner is asked again after maximumRetryDelay at
        /// the latest, so one whose last reply is older no longer replies, and the team may have another owner by now.
        std::chrono::milliseconds replyLifetime{200};
    };
    /// Numbers of tokens to borrow from the owner and to return to it.
    struct TokenRequest {
        double wanted = 0;
        double returned = 0;
    };

    TeamTokens(const Options &options, SteadyTime now);

    /// Takes a token if one is left and no earlier caller waits.
    bool tryAcquire(SteadyTime now);
    /// Queues a caller. @p waiter must stay valid until it is granted or removed.
    void enqueue(TokenWaiter &waiter, SteadyTime now);
    void remove(TokenWaiter &waiter);
    /// Takes back the token of a request that wasn't sent.
    void returnToken(SteadyTime now);

    /// Whether the borrower should visit the team before its next scan. Returns true only once until that visit.
    bool shouldWakeBorrower();

    /// Whether startRequest() would return a request. Called on each visit of the borrower; updates the estimate of the demand.
    bool isDue(SteadyTime now);

    /// Returns the request to send to the owner now, or nothing. The tokens to return are removed here, whether or not the request arrives.
    std::optional<TokenRequest> startRequest(SteadyTime now);

    /// Applies the owner's reply to a request that was planned at @p requestedAt.
    void applyLoan(const hyssophall::fleet::v1::TokenLoan &loan, SteadyTime requestedAt, SteadyTime now);
    /// Records that a request failed or that its recipient doesn't own the team's bucket.
    void recordFailure(SteadyTime now);

    /// Decision for a caller whose wait ends without a token: RateLimited if the owner said so during the wait, else Unavailable.
    RateDecision refusal(const TokenWaiter &waiter, SteadyTime now) const;

    /// Time of the last failure, or nothing when there was none.
    std::optional<SteadyTime> lastFailure() const;

    bool hasWaiters() const;
    /// Earliest time of the next request for tokens.
    SteadyTime nextRequestTime() const;
    /// Whether the team holds no state that matters, so that it can be removed.
    bool isIdle(SteadyTime now) const;

private:
    TokenRequest planRequest(SteadyTime now) const;
    /// Gives tokens to waiting callers, longest wait first.
    void grantTokens();
    void updateDemand(SteadyTime now);
    /// Number of tokens that should be here.
    std::size_t targetTokens() const;

    const Options &options;
    std::size_t tokens = 0;
    /// When the request for the latest tokens was planned. Their lifetime counts from then.
    SteadyTime borrowedAt;
    /// Last call of tryAcquire() or returnToken().
    SteadyTime lastUse;
    /// Start of the period over which measuredCalls counts calls, for the estimate of the demand.
    SteadyTime measurementStart;
    std::size_t measuredCalls = 0;
    /// Exponentially smoothed number of calls in one batchPeriod.
    double expectedDemand = 0;
    /// Whether shouldWakeBorrower() has returned true since the last visit.
    bool isWakeRequested = false;
    /// Whether a request is open.
    bool isRequestOpen = false;
    SteadyTime earliestRequest;
    std::list<TokenWaiter *> waiters;
    /// Decision that follows from the owner's last reply, and when it arrived.
    RateDecision lastDecision;
    SteadyTime lastReplyTime;
    std::optional<SteadyTime> failureTime;
};

} // namespace Hyssophall
