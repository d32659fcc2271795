#include "process/fleet/quorumservinglease.h"

#include <optional>
#include <utility>
#include <vector>

namespace Hyssophall {

QuorumServingLease::QuorumServingLease(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration)
    : context(context)
    , name("vm:" + context.self)
    , agent(LeaseAgent::create(std::move(context), std::move(voter), duration))
{
}

bool QuorumServingLease::isHeld() const
{
    const std::optional<std::uint64_t> epoch = this->agent->heldEpoch(this->name);
    return epoch.has_value() && *epoch == this->upToDateEpoch.load();
}

bool QuorumServingLease::isCatalogueCurrent() const
{
    return this->isHeld();
}

void QuorumServingLease::step()
{
    const bool isBehind = this->context.catalogueVersion() < this->agent->greatestCatalogueVersion();
    const std::optional<std::uint64_t> epoch = this->agent->heldEpoch(this->name);
    if (epoch.has_value() && !isBehind) {
        this->upToDateEpoch.store(*epoch);
    }
    if (isBehind && epoch.has_value() && !this->released.load()) {
        return;
    }
    const bool admitted = this->context.roster()->find(this->context.self) != nullptr;
    this->agent->step(admitted && !this->released.load() ? std::vector<std::string>{this->name} : std::vector<std::string>());
}

void QuorumServingLease::release()
{
    this->released.store(true);
    this->step();
}

} // namespace Hyssophall
