#pragma once

#include "fleet.pb.h"
#include "process/hooks.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// The result of claiming the idempotency key of a request.
struct ClaimResult {
    enum class Kind {
        /// A quorum granted the claim; the request may be sent to the upstream once.
        Granted,
        /// An earlier request with this key and fingerprint has finished; outcome has its recorded response.
        Finished,
        /// Another request holds the claim, and no outcome is recorded yet.
        InProgress,
        /// The key was used before for a request with a different fingerprint.
        FingerprintMismatch,
        /// No quorum answered within the deadline. The request was not sent and the claim is released.
        Unavailable,
    };
    Kind kind = Kind::Unavailable;
    /// Id of the granted claim, to be passed to finish() or release(). Empty unless kind is Granted.
    std::string attempt;
    std::optional<hyssophall::fleet::v1::ClaimOutcome> outcome;
};

/// Claims idempotency keys fleet-wide, so that a request with such a key runs at most once on any VM. Thread-safe.
class ClaimCoordinator
{
public:
    virtual ~ClaimCoordinator() = default;

    /// Claims the key for one request of a team. Blocks until the deadline at most.
    virtual ClaimResult claim(const std::string &team, const std::string &idempotencyKey, std::uint64_t fingerprint, SteadyTime deadline) = 0;

    /// Records the outcome of a granted claim. Blocks until a quorum has stored it or the deadline passes, so that a retry finds it.
    virtual void finish(const std::string &team,
        const std::string &idempotencyKey,
        const std::string &attempt,
        const hyssophall::fleet::v1::ClaimOutcome &outcome,
        SteadyTime deadline)
        = 0;

    /// Releases a granted claim whose request was not sent at all or provably wasn't run by the upstream, so that a retry can run.
    virtual void release(const std::string &team, const std::string &idempotencyKey, const std::string &attempt) = 0;
};

} // namespace Hyssophall
