#pragma once

#include "process/fleet/memberview.h"
#include "process/hooks.h"
#include "version/catalogue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Hyssophall::Administration {

/// How far a version has come. Source: ProgressTracker::progress().
struct Progress {
    /// VMs of the roster.
    std::size_t members = 0;
    /// VMs that confirmed the version.
    std::size_t confirmed = 0;
    /// Dead or leaving VMs whose serving lease from before the version must have run out.
    std::size_t expired = 0;
    /// Ids of the VMs that may still serve with an older version.
    std::vector<std::string> pending;
    bool inForce = false;
};

/**
 * Tells whether a version is in force on all VMs of the roster.
 *
 * A VM that seems dead counts only by proof, because it may be cut off from this VM alone. Once so many voters of its serving lease have
 * the version that each quorum contains one of them, each renewal tells the VM of the version. It then either takes the version or
 * holds no lease after the expiry, counted from when this object first saw those voters. Thread-safe.
 */
class ProgressTracker
{
public:
    /// @p leaseExpiry covers a renewal that was granted just before, and the one that told the VM of the version: two serving leases.
    ProgressTracker(std::chrono::milliseconds leaseExpiry, SteadyClock clock);

    Progress progress(std::uint64_t version, const Roster &roster, const std::vector<MemberView::MemberStatus> &statuses);

private:
    using StatusById = std::map<std::string, MemberView::MemberStatus>;

    /// Versions whose observations are kept; the oldest go first.
    static constexpr std::size_t maximumKeptVersions = 64;

    bool isLeaseExpired(std::uint64_t version, const Roster &roster, const CatalogueMessages::Member &member, const StatusById &statuses);

    std::chrono::milliseconds leaseExpiry;
    SteadyClock clock;
    std::mutex mutex;
    /// By version and member: when enough voters of the member were first seen with the version.
    std::map<std::uint64_t, std::map<std::string, SteadyTime>> informedSince;
};

} // namespace Hyssophall::Administration
