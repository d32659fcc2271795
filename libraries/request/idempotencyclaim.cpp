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
    if (this->releasable) {
        this->coordinator.release(this->team, this->key, this->attempt);
    }
}

void IdempotencyClaim::keep()
{
    this->releasable = false;
}

void IdempotencyClaim::finish(const hyssophall::fleet::v1::ClaimOutcome &outcome, SteadyTime deadline)
{
    this->releasable = false;
    this->coordinator.finish(this->team, this->key, this->attempt, outcome, deadline);
}

} // namespace Hyssophall
