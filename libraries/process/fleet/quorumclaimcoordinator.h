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
 * Claims by quorum of the key's committee.
 *
 * An attempt that gets no quorum is released, and the release is repeated to each member until it is acknowledged, so that a key stays blocked by
 * an attempt that was given up only while its members can't be reached, and never beyond the retention. An attempt id is never used twice.
 */
class QuorumClaimCoordinator : public ClaimCoordinator
{
public:
    /// Waits until a condition that is signalled by completions may have changed, at most until the deadline. Tests deliver messages in it.
    using WaitHook = std::function<void(SteadyTime)>;

    struct Options {
        /// Time for the answers of one attempt.
        std::chrono::milliseconds attemptLimit{500};
        /// Longest pause before the first repetition of an attempt; it doubles with each.
        std::chrono::milliseconds firstPause{10};
        std::chrono::milliseconds longestPause{500};
        /// Attempts after which a claim that others hold in part counts as in progress.
        int ambiguousAttempts = 4;
        std::chrono::milliseconds retention{600000};
        std::size_t maximumPendingReleases = 100000;
        std::size_t maximumBodyBytes = std::size_t{16} * 1024;
    };

    /// @p wait may be empty: the calling thread then sleeps until an answer comes.
    QuorumClaimCoordinator(FleetContext context, Options options, std::shared_ptr<ClaimGroups> groups, std::shared_ptr<ClaimMember> local, WaitHook wait);
    ~QuorumClaimCoordinator() override;

    ClaimResult claim(const std::string &team, const std::string &idempotencyKey, std::uint64_t fingerprint, SteadyTime deadline) override;
    void finish(const std::string &team,
        const std::string &idempotencyKey,
        const std::string &attempt,
        const FleetMessages::ClaimOutcome &outcome,
        SteadyTime deadline) override;
    void release(const std::string &team, const std::string &idempotencyKey, const std::string &attempt) override;

    /// Repeats releases that weren't acknowledged. Called a few times a second by one thread.
    void step();

    std::size_t pendingReleases() const;

private:
    struct PendingReleases;

    ClaimResult attempt(const FleetMessages::ClaimRequest &request, const Committee &committee, SteadyTime deadline, bool &ambiguous);
    void pause(int attempt, SteadyTime deadline);
    void ask(
        const std::shared_ptr<ClaimRound> &round, const CatalogueMessages::Member &member, const FleetMessages::ClaimRequest &request, SteadyTime deadline);
    void waitFor(const std::shared_ptr<ClaimRound> &round, SteadyTime deadline);
    void releaseAt(const Committee &committee, const std::string &keyHash, const std::string &attempt);
    void sendRelease(const CatalogueMessages::Member &member, const FleetMessages::FinishClaimRequest &request);
    std::chrono::milliseconds timeoutUntil(SteadyTime deadline) const;

    FleetContext context;
    Options options;
    std::shared_ptr<ClaimGroups> groups;
    std::shared_ptr<ClaimMember> local;
    WaitHook wait;
    std::atomic<std::uint64_t> attempts = 0;
    std::shared_ptr<PendingReleases> pending;
};

} // namespace Hyssophall
