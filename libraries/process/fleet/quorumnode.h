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
 * This VM's leases, its votes on those of others, claims of idempotency keys and fleet-wide rate limits, with a thread for each periodic task.
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
        /// Replaces blocking waits in tests that deliver messages on the calling thread. Empty in the daemon.
        QuorumClaimCoordinator::WaitHook claimWaitHook;
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

    /// Ends the threads, then returns borrowed tokens and releases the leases. Called after the last request has ended.
    void stop();

    /// The periodic tasks, each called by its own thread. Tests call them directly.
    void stepShardLeases();
    void stepServingLease();
    void stepClaims();
    void stepOwner();
    SteadyTime stepLimits();

    ShardLeases &shardLeases();
    ServingLease &servingLease();
    ClaimCoordinator &claimCoordinator();
    BorrowingRateLimiter &rateLimiter();
    /// Number of claim groups in which this VM grants no claims yet, see ClaimMember.
    std::size_t recoveringClaimGroups() const;

private:
    FleetMessages::BorrowTokensReply lendTokens(const FleetMessages::BorrowTokensRequest &request);
    void runEvery(std::chrono::milliseconds interval, const std::function<void()> &task);
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
