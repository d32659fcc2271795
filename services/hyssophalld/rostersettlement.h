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
 * Determines whether the last change of the roster is in force on all VMs that may vote. Thread-safe.
 *
 * The next change has to wait for this: the quorums of two committees may have no common member once their rosters are more than two changes apart.
 */
class RosterSettlement
{
public:
    /// @p leaseExpiry is the time after which a VM that hasn't received the change holds no lease. The references must outlive the object.
    static std::shared_ptr<RosterSettlement> create(CatalogueStore &store, const MemberView &members, SteadyClock clock, std::chrono::milliseconds leaseExpiry);

    /// Whether each VM has the catalogue version of the last change, or is dead or leaving and its leases have expired.
    bool isSettled() const;

private:
    RosterSettlement(const MemberView &members, SteadyClock clock, std::chrono::milliseconds leaseExpiry);

    void recordRosterChange(const Catalogue &catalogue);

    const MemberView &members;
    const SteadyClock clock;
    const std::chrono::milliseconds leaseExpiry;
    mutable std::mutex mutex;
    std::uint64_t rosterVersion = 0;
    std::uint64_t catalogueVersion = 0;
    SteadyTime changedAt{};
};

} // namespace Hyssophall
