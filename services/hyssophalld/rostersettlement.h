#pragma once

#include "process/cataloguestore.h"
#include "process/fleet/memberview.h"
#include "process/hooks.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

namespace Hyssophall {

/**
 * Tells whether the last change of the roster is in force on all VMs that may vote.
 *
 * Committees of rosters that are more than two changes apart may decide without each other, so the next change has to wait.
 */
class RosterSettlement
{
public:
    /// @p leaseExpiry is the time after which a VM that didn't hear of the change holds no lease. References outlive the object's use.
    static std::shared_ptr<RosterSettlement> create(CatalogueStore &store, const MemberView &members, SteadyClock clock, std::chrono::milliseconds leaseExpiry);

    bool isSettled() const;

private:
    RosterSettlement(const MemberView &members, SteadyClock clock, std::chrono::milliseconds leaseExpiry);

    void note(const Catalogue &catalogue);

    const MemberView &members;
    const SteadyClock clock;
    const std::chrono::milliseconds leaseExpiry;
    mutable std::mutex mutex;
    std::uint64_t rosterVersion = 0;
    std::uint64_t catalogueVersion = 0;
    SteadyTime changedAt{};
};

} // namespace Hyssophall
