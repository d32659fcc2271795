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
 * Serves callers from tokens that were borrowed from the owners of the teams' shards.
 *
 * A call with a token at hand takes one lock, shared only with teams of the same stripe, and does no I/O. One thread borrows in batches, one call
 * at a time to each owner.
 */
class BorrowingRateLimiter : public RateLimiter, public std::enable_shared_from_this<BorrowingRateLimiter>
{
public:
    struct Options {
        TeamTokens::Options tokens;
        /// Longest wait of a caller whose team is over its rate.
        std::chrono::milliseconds longestWait{250};
        /// Longest wait of a caller while no owner has answered: the team may well be inside its rate.
        std::chrono::milliseconds longestSilence{1000};
        /// Shortest time that an owner has to answer. It has at least as long as callers wait: a loan that comes after the time-out is lost,
        /// although callers may still wait for it and the owner has charged it to the team.
        std::chrono::milliseconds callTimeout{100};
        std::size_t maximumDemandsPerCall = 1000;
    };
    /// Asks this VM's own buckets.
    using LocalOwner = std::function<FleetMessages::BorrowTokensReply(const FleetMessages::BorrowTokensRequest &)>;
    /// Id of the owner of a shard, or an empty string.
    using OwnerSource = std::function<std::string(std::uint32_t shard)>;

    static std::shared_ptr<BorrowingRateLimiter> create(FleetContext context, Options options, OwnerSource owners, LocalOwner localOwner);

    RateDecision acquire(const std::string &team, SteadyTime deadline) override;
    void giveBack(const std::string &team) override;

    /// acquire() in two parts for callers that don't block. Returns true when a token was taken; else the waiter is in the queue until end().
    bool begin(const std::string &team, TokenWaiter &waiter);
    RateDecision end(const std::string &team, TokenWaiter &waiter);

    /// Sends the requests that are due. Returns when it should run again at the latest.
    SteadyTime step();

    /// Sleeps until the time or until a caller needs tokens.
    void waitUntil(SteadyTime time);
    void wake();

    /// Returns all tokens at hand to their owners, before the process ends.
    void returnAll();

    /// Calls sent to other VMs so far.
    std::uint64_t sentCalls() const;

private:
    struct NameHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const;
    };
    struct Stripe {
        std::mutex mutex;
        std::unordered_map<std::string, std::unique_ptr<TeamTokens>, NameHash, std::equal_to<>> teams;
    };
    using Batches = std::map<std::string, FleetMessages::BorrowTokensRequest>;

    BorrowingRateLimiter(FleetContext context, Options options, OwnerSource owners, LocalOwner localOwner);
    Stripe &stripeOf(std::string_view team);
    TeamTokens &tokensOf(Stripe &stripe, const std::string &team, SteadyTime now);
    /// Whether the waiter has had no fair chance yet: no owner has answered since it came, or one has only just begun to. The stripe is locked.
    bool isUnanswered(Stripe &stripe, const std::string &team, const TokenWaiter &waiter);
    void scan(SteadyTime now, Batches &batches);
    std::optional<SteadyTime> visit(const std::string &team, TeamTokens &tokens, SteadyTime now, Batches &batches);
    void visitPending(SteadyTime now, Batches &batches);
    void sendAll(const Batches &batches, SteadyTime asked);
    void wakeFor(const std::vector<std::string> &teams);
    void send(const std::string &owner, const FleetMessages::BorrowTokensRequest &request, SteadyTime asked);
    void takeReply(
        const std::string &owner, const FleetMessages::BorrowTokensRequest &request, const FleetMessages::BorrowTokensReply *reply, SteadyTime asked);

    FleetContext context;
    Options options;
    OwnerSource owners;
    LocalOwner localOwner;
    std::array<Stripe, 64> stripes;
    std::mutex ownerMutex;
    std::set<std::string> busyOwners;
    std::mutex wakeMutex;
    std::condition_variable wakeUp;
    bool wanted = false;
    /// Teams that the borrower should visit at once.
    std::vector<std::string> dueTeams;
    /// Teams whose callers wait for a request that can't be sent yet, with the time of the next visit. Used by the borrower alone.
    std::map<std::string, SteadyTime> pending;
    SteadyTime nextScan;
    std::atomic<std::uint64_t> calls = 0;
};

} // namespace Hyssophall
