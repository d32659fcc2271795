#pragma once

#include "process/fleet/fleetcontext.h"
#include "process/fleet/shardleases.h"
#include "process/limits/ratelimiter.h"
#include "process/limits/teamtokens.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Hyssophall {

/**
 * Rate limiter that serves requests from tokens that this VM has borrowed from the owners of the teams' token buckets.
 *
 * Each team belongs to a shard, and the VM that holds the shard's lease owns its bucket (TokenBucketOwner). A call that finds a token here takes
 * one lock, shared only with teams of the same stripe, and does no I/O. One thread, the borrower, runs step() and waitUntil(). It requests tokens
 * in batches and has at most one call open to each owner.
 */
class BorrowingRateLimiter : public RateLimiter, public std::enable_shared_from_this<BorrowingRateLimiter>
{
public:
    struct Options {
        TeamTokens::Options tokens;
        /// Longest wait of a caller whose team has used up its rate.
        std::chrono::milliseconds maximumRateWait{250};
        /// Longest wait of a caller while no owner replies. It is longer than the other wait, because the team may be within its rate.
        std::chrono::milliseconds maximumOwnerWait{1000};
        /// Timeout of a call to an owner, unless callers wait for longer: then their wait is the timeout. Tokens that arrive after the timeout
        /// are lost, although the owner has deducted them from the team's bucket and callers may still wait for them.
        std::chrono::milliseconds callTimeout{100};
        std::size_t maximumDemandsPerCall = 1000;
    };
    /// Borrows from the buckets that this VM owns itself, without a call.
    using LocalOwner = std::function<FleetMessages::BorrowTokensReply(const FleetMessages::BorrowTokensRequest &)>;
    /// Returns the id of the VM that owns a shard, or an empty string when none is known.
    using OwnerSource = std::function<std::string(std::uint32_t shard)>;

    static std::shared_ptr<BorrowingRateLimiter> create(FleetContext context, Options options, OwnerSource findOwner, LocalOwner borrowLocally);

    RateDecision acquire(const std::string &team, SteadyTime deadline) override;
    void returnToken(const std::string &team) override;

    /// First part of acquire() for callers that don't block. Returns true when a token was taken. Otherwise the waiter is queued, and must stay
    /// valid, until it is granted a token or endAcquire() is called.
    bool beginAcquire(const std::string &team, TokenWaiter &waiter);
    /// Second part: removes the waiter from the queue and returns the decision for it.
    RateDecision endAcquire(const std::string &team, TokenWaiter &waiter);

    /// Sends the requests for tokens that are due. Returns the latest time at which it must run again.
    SteadyTime step();

    /// Blocks until @p time, until a caller needs tokens, or until wake().
    void waitUntil(SteadyTime time);
    void wake();

    /// Returns all unused tokens to their owners. Called before the process ends.
    void returnAllTokens();

    /// Number of calls sent to other VMs so far.
    std::uint64_t sentCalls() const;

private:
    struct NameHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const;
    };
    /// Teams that share a lock.
    struct Stripe {
        std::mutex mutex;
        std::unordered_map<std::string, std::unique_ptr<TeamTokens>, NameHash, std::equal_to<>> teams;
    };
    /// Requests to send, by id of the owner.
    using Batches = std::map<std::string, FleetMessages::BorrowTokensRequest>;

    BorrowingRateLimiter(FleetContext context, Options options, OwnerSource findOwner, LocalOwner borrowLocally);
    Stripe &stripeOf(std::string_view team);
    TeamTokens &tokensOf(Stripe &stripe, const std::string &team, SteadyTime now);
    /// Whether the waiter should keep waiting after maximumRateWait, because no owner has replied since it began to wait or the owner's bucket has
    /// filled for less than maximumRateWait. The caller holds the mutex of @p stripe.
    bool awaitsOwner(Stripe &stripe, const std::string &team, const TokenWaiter &waiter);
    /// Calls addDemand() for all teams and removes idle ones.
    void scanTeams(SteadyTime now, Batches &batches);
    /// Adds a team's request for tokens to @p batches when one is due. Returns the time of the next visit when callers still need one.
    std::optional<SteadyTime> addDemand(const std::string &team, TeamTokens &tokens, SteadyTime now, Batches &batches);
    void addPendingDemands(SteadyTime now, Batches &batches);
    /// @p requestedAt is the time at which the requests were planned; the lifetime of the borrowed tokens counts from it.
    void sendBatches(const Batches &batches, SteadyTime requestedAt);
    /// Makes the borrower visit these teams at once.
    void wakeForTeams(const std::vector<std::string> &teams);
    void send(const std::string &owner, const FleetMessages::BorrowTokensRequest &request, SteadyTime requestedAt);
    /// Distributes the loans of @p reply to the teams. Null means that the call failed.
    void handleReply(
        const std::string &owner, const FleetMessages::BorrowTokensRequest &request, const FleetMessages::BorrowTokensReply *reply, SteadyTime requestedAt);

    FleetContext context;
    Options options;
    OwnerSource findOwner;
    LocalOwner borrowLocally;
    std::array<Stripe, 64> stripes;
    std::mutex ownerMutex;
    /// Owners to which a call is open.
    std::set<std::string> busyOwners;
    std::mutex wakeMutex;
    std::condition_variable wakeUp;
    bool isWakeRequested = false;
    /// Teams that the borrower visits in its next step.
    std::vector<std::string> dueTeams;
    /// Teams with waiting callers whose request can't be sent yet, and the time of the next visit. Accessed only by the borrower.
    std::map<std::string, SteadyTime> pendingTeams;
    SteadyTime nextScan;
    std::atomic<std::uint64_t> sentCallCount = 0;
};

} // namespace Hyssophall
