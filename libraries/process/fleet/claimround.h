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

/// Collects the committee's replies to one attempt to claim a key, or its acknowledgements of an outcome. Thread-safe.
class ClaimRound
{
public:
    ClaimRound(std::size_t members, std::size_t quorum, std::uint64_t fingerprint);

    void addReply(const FleetMessages::ClaimReply &reply);
    void addAcknowledgement();
    void addFailure();

    /// True once further replies can't change the result, or all members have replied or failed.
    bool isDecided() const;

    /// The result of the replies so far: Granted, Finished, InProgress, FingerprintMismatch, or Unavailable.
    ClaimResult result() const;

    /// True when no outcome is known and no attempt is held by a quorum of members. Another attempt may then have a different result.
    bool isAmbiguous() const;

    /// Blocks until isDecided() or the deadline.
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
    /// By attempt id: records of other attempts that hold the key, with the number of members that reported them.
    std::map<std::string, std::pair<std::size_t, FleetMessages::ClaimRecord>> held;
};

} // namespace Hyssophall
