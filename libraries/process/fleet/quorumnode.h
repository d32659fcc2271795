#pragma once

#include "process/fleet/claimmember.h"
#include "process/fleet/fleettransport.h"
#include "process/fleet/memberview.h"
#include "process/fleet/quorumclaimcoordinator.h"
#include "process/fleet/quorumservinglease.h"
#include "process/fleet/quorumshardleases.h"
#include "process/limits/borrowingratelimiter.h"
#include "process/limits/tokenbucketowner.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Hyssophall {

/**
 * This VM's part in all that is decided by quorums and owners: leases, claims and the fleet-wide limits, with a thread for each duty.
 */
class QuorumNode
{
public:
    struct Options {
        std::chrono::milliseconds shardLease{2000};
        std::chrono::milliseconds servingLease{3000};
        ClaimStore::Options claimStore;
        QuorumClaimCoordinator::Options claims;
        BorrowingRateLimiter::Options limits;
        TokenBucketOwner::Options owner;
        /// For tests that deliver messages by themselves; empty in a daemon.
        QuorumClaimCoordinator::WaitHook claimWait;
    };

    /// @p members and the transport of the context must outlive the node.
    QuorumNode(FleetContext context, const Options &options, const MemberView &members, TeamLimitSource teamLimits);
    ~QuorumNode();
    QuorumNode(const QuorumNode &) = delete;
    QuorumNode &operator=(const QuorumNode &) = delete;

    /// Sets grantLeases, claim, finishClaim, recoverClaims and borrowTokens. The node must outlive the server that uses them.
    void setHandlers(FleetHandlers &handlers);

    /// Starts the threads.
    void start();

    /// Returns tokens and leases and ends the threads. Called after the last request has ended.
    void stop();

    /// The duties, each run by its own thread; tests run them by hand.
    void stepShardLeases();
    void stepServingLease();
    void stepClaims();
    void stepOwner();
    SteadyTime stepLimits();

    ShardLeases &shardLeases();
    ServingLease &servingLease();
    ClaimCoordinator &claimCoordinator();
    BorrowingRateLimiter &rateLimiter();
    /// Groups of claims that this VM doesn't vote on yet.
    std::size_t recoveringClaimGroups() const;

private:
    FleetMessages::BorrowTokensReply lendTokens(const FleetMessages::BorrowTokensRequest &request);
    void runEvery(std::chrono::milliseconds interval, const std::function<void()> &duty);
    void runLimits();
    bool isStopping();

    FleetContext context;
    std::shared_ptr<LocalLeaseVoter> voter;
    QuorumShardLeases shards;
    QuorumServingLease serving;
    std::shared_ptr<ClaimMember> claimMember;
    QuorumClaimCoordinator claims;
    std::mutex ownerMutex;
    TokenBucketOwner owner;
    std::shared_ptr<BorrowingRateLimiter> limiter;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace Hyssophall
