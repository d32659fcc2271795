#pragma once

#include "process/fleet/claimcoordinator.h"

#include <string>

namespace Hyssophall {

/// A granted claim of one request. It is released on destruction unless the request may have run.
class IdempotencyClaim
{
public:
    IdempotencyClaim(ClaimCoordinator &coordinator, std::string team, std::string key, std::string attempt);
    ~IdempotencyClaim();
    IdempotencyClaim(const IdempotencyClaim &) = delete;
    IdempotencyClaim &operator=(const IdempotencyClaim &) = delete;

    /// The request may have run: without a recorded outcome, a resend is told "outcome unknown".
    void keep();

    /// Records the outcome for resends. Blocks until the deadline at most.
    void finish(const hyssophall::fleet::v1::ClaimOutcome &outcome, SteadyTime deadline);

private:
    ClaimCoordinator &coordinator;
    const std::string team;
    const std::string key;
    const std::string attempt;
    bool releasable = true;
};

} // namespace Hyssophall
