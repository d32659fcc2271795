#pragma once

#include "fleet.pb.h"
#include "process/hooks.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// What a request learned when it claimed its idempotency key.
struct ClaimResult {
    enum class Kind {
        /// A quorum granted the claim; the request may be sent once.
        Granted,
        /// Another request ran with this key and fingerprint; its outcome is recorded.
        Finished,
        /// Another request holds the claim and has no recorded outcome.
        InProgress,
        /// The key came before with another request.
        FingerprintMismatch,
        /// No quorum within the deadline; nothing was sent and the claim is released.
        Unavailable,
    };
    Kind kind = Kind::Unavailable;
    /// Names the granted claim in finish().
    std::string attempt;
    std::optional<hyssophall::fleet::v1::ClaimOutcome> outcome;
};

/// Interface to the fleet-wide claims of idempotency keys. Thread-safe.
class ClaimCoordinator
{
public:
    virtual ~ClaimCoordinator() = default;

    /// Claims the key for one request of a team; blocks until the deadline at most.
    virtual ClaimResult claim(const std::string &team, const std::string &idempotencyKey, std::uint64_t fingerprint, SteadyTime deadline) = 0;

    /// Records the outcome of a granted claim. Blocks until a quorum has it or the deadline passes, so that a resend finds it.
    virtual void finish(const std::string &team,
        const std::string &idempotencyKey,
        const std::string &attempt,
        const hyssophall::fleet::v1::ClaimOutcome &outcome,
        SteadyTime deadline)
        = 0;

    /// Gives back a granted claim of which not a byte was sent, or whose request provably didn't run.
    virtual void release(const std::string &team, const std::string &idempotencyKey, const std::string &attempt) = 0;
};

} // namespace Hyssophall
