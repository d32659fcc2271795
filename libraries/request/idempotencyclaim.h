#pragma once

#include "process/fleet/claimcoordinator.h"

#include <string>

namespace Hyssophall {

/// The claim of one request to its idempotency key, held on a quorum of the fleet. Released on destruction unless the request may have run.
class IdempotencyClaim
{
public:
    IdempotencyClaim(ClaimCoordinator &coordinator, std::string team, std::string key, std::string attempt);
    ~IdempotencyClaim();
    IdempotencyClaim(const IdempotencyClaim &) = delete;
    IdempotencyClaim &operator=(const IdempotencyClaim &) = delete;

    /// Prevents the release, as the request may have run. A caller that repeats the request gets the outcome "unknown" unless finish() stored one.
    void markMayHaveRun();

    /// Stores the outcome, which is replayed to a caller that repeats the request. Blocks until the deadline at most.
    void finish(const hyssophall::fleet::v1::ClaimOutcome &outcome, SteadyTime deadline);

private:
    ClaimCoordinator &coordinator;
    const std::string team;
    const std::string key;
    const std::string attempt;
    bool releaseOnDestruction = true;
};

} // namespace Hyssophall
