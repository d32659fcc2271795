#include "request/idempotencyclaim.h"

#include <utility>

namespace Hyssophall {

IdempotencyClaim::IdempotencyClaim(ClaimCoordinator &coordinator, std::string team, std::string key, std::string attempt)
    : coordinator(coordinator)
    , team(std::move(team))
    , key(std::move(key))
    , attempt(std::move(attempt))
{
}

IdempotencyClaim::~IdempotencyClaim()
{
    if (this->releaseOnDestruction) {
        this->coordinator.release(this->team, this->key, this->attempt);
    }
}

void IdempotencyClaim::markMayHaveRun()
{
    this->releaseOnDestruction = false;
}

void IdempotencyClaim::finish(const hyssophall::fleet::v1::ClaimOutcome &outcome, SteadyTime deadline)
{
    this->releaseOnDestruction = false;
    this->coordinator.finish(this->team, this->key, this->attempt, outcome, deadline);
}

} // namespace Hyssophall
