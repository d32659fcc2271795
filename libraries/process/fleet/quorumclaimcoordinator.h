#pragma once

#include "process/fleet/claimcoordinator.h"
#include "process/fleet/claimmember.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

class ClaimRound;

/**
 * Claims a key by asking all members of its committee; a quorum of grants decides.
 *
 * An attempt without a quorum is released. The release is sent again to each member until it is acknowledged. An abandoned attempt therefore
 * blocks a key only while the members that granted it are unreachable, and never beyond the retention. An attempt id is never used twice.
 */
class QuorumClaimCoordinator : public ClaimCoordinator
{
public:
    /// Waits until the deadline at most, and may return early; the caller then checks its condition again. Tests deliver simulated messages in it.
    using WaitHook = std::function<void(SteadyTime)>;

    struct Options {
        /// Timeout for the replies to one attempt.
        std::chrono::milliseconds attemptTimeout{500};
        /// Upper bound of the random delay before the second attempt. It doubles with each further attempt, up to maximumRetryDelay.
        std::chrono::milliseconds initialRetryDelay{10};
        std::chrono::milliseconds maximumRetryDelay{500};
        /// Number of attempts after which a key that other attempts hold without a quorum is reported as in progress.
        int ambiguousAttempts = 4;
        std::chrono::milliseconds retention{600000};
        std::size_t maximumPendingReleases = 100000;
        std::size_t maximumBodyBytes = std::size_t{16} * 1024;
    };

    /// @p waitHook may be empty: the calling thread then blocks until a reply arrives.
    QuorumClaimCoordinator(FleetContext context, Options options, std::shared_ptr<ClaimGroups> groups, std::shared_ptr<ClaimMember> local, WaitHook waitHook);
    ~QuorumClaimCoordinator() override;

    ClaimResult claim(const std::string &team, const std::string &idempotencyKey, std::uint64_t fingerprint, SteadyTime deadline) override;
    void finish(const std::string &team,
        const std::string &idempotencyKey,
        const std::string &attempt,
        const FleetMessages::ClaimOutcome &outcome,
        SteadyTime deadline) override;
    void release(const std::string &team, const std::string &idempotencyKey, const std::string &attempt) override;

    /// Sends releases again that weren't acknowledged. Called every 100 ms by one thread of QuorumNode.
    void step();

    std::size_t pendingReleases() const;

private:
    struct PendingReleases;

    ClaimResult runAttempt(const FleetMessages::ClaimRequest &request, const Committee &committee, SteadyTime deadline, bool &ambiguous);
    void waitBeforeRetry(int attempt, SteadyTime deadline);
    void sendClaim(
        const std::shared_ptr<ClaimRound> &round, const CatalogueMessages::Member &member, const FleetMessages::ClaimRequest &request, SteadyTime deadline);
    void waitForRound(const std::shared_ptr<ClaimRound> &round, SteadyTime deadline);
    void releaseFromCommittee(const Committee &committee, const std::string &keyHash, const std::string &attempt);
    void sendRelease(const CatalogueMessages::Member &member, const FleetMessages::FinishClaimRequest &request);
    std::chrono::milliseconds timeoutUntil(SteadyTime deadline) const;

    FleetContext context;
    Options options;
    std::shared_ptr<ClaimGroups> groups;
    std::shared_ptr<ClaimMember> local;
    WaitHook waitHook;
    std::atomic<std::uint64_t> nextAttempt = 0;
    std::shared_ptr<PendingReleases> pending;
};

} // namespace Hyssophall
