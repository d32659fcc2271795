#pragma once

#include "process/fleet/claimcoordinator.h"
#include "process/fleet/fleetcontext.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

/// The answers to one attempt of a claim, or the acknowledgements of its outcome. Thread-safe.
class ClaimRound
{
public:
    ClaimRound(std::size_t members, std::size_t quorum, std::uint64_t fingerprint);

    void takeReply(const FleetMessages::ClaimReply &reply);
    void takeAcknowledgement();
    void takeFailure();

    /// True once further answers can't change the result.
    bool isDecided() const;

    /// The result of the answers so far: Granted, Finished, InProgress, FingerprintMismatch, or Unavailable.
    ClaimResult result() const;

    /// True when no attempt was seen at a whole quorum of members, so that a repetition may have another result.
    bool isAmbiguous() const;

    /// Sleeps until isDecided() or the deadline.
    void waitUntil(SteadyTime deadline) const;

private:
    bool decidedLocked() const;
    bool heldByQuorumLocked() const;
    std::optional<FleetMessages::ClaimRecord> holderLocked() const;

    const std::size_t members;
    const std::size_t quorum;
    const std::uint64_t fingerprint;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::size_t granted = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::optional<FleetMessages::ClaimRecord> done;
    /// Records of other attempts, with the number of members that hold them.
    std::map<std::string, std::pair<std::size_t, FleetMessages::ClaimRecord>> held;
};

} // namespace Hyssophall
