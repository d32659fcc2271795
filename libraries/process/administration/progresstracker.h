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

/// How many VMs a catalogue version has reached. Returned by ProgressTracker::progress().
struct Progress {
    /// Number of VMs in the roster.
    std::size_t members = 0;
    /// Number of VMs that have this version or a newer one.
    std::size_t confirmed = 0;
    /// Number of dead, leaving or unknown VMs without the version whose serving lease must have expired.
    std::size_t expired = 0;
    /// Ids of the VMs that may still serve with an older version.
    std::vector<std::string> pending;
    /// Whether no VM is pending; never true for an empty roster.
    bool inForce = false;
};

/**
 * Determines whether a catalogue version is in force on all VMs of the roster.
 *
 * A VM that seems dead may only be partitioned from this VM and still serve with an older version. It counts as expired only once its serving
 * lease must have expired. When so many voters of that lease have the version that each quorum contains one of them, each renewal informs
 * the VM of the version. From then on the VM either applies the version or can't renew its lease, so it holds none once the lease expiry has
 * passed since this object first saw enough voters with the version. Thread-safe.
 */
class ProgressTracker
{
public:
    /// @p leaseExpiry is the length of two serving leases: one for a renewal that was granted just before enough voters had the version, and one for
    /// the renewal that informed the VM of it.
    ProgressTracker(std::chrono::milliseconds leaseExpiry, SteadyClock clock);

    Progress progress(std::uint64_t version, const Roster &roster, const std::vector<MemberView::MemberStatus> &statuses);

private:
    using StatusById = std::map<std::string, MemberView::MemberStatus>;

    /// Number of versions whose observation times are kept; the oldest versions are removed first.
    static constexpr std::size_t maximumKeptVersions = 64;

    bool isLeaseExpired(std::uint64_t version, const Roster &roster, const CatalogueMessages::Member &member, const StatusById &statuses);

    std::chrono::milliseconds leaseExpiry;
    SteadyClock clock;
    std::mutex mutex;
    /// By version and member id: the time at which enough of the member's voters were first seen with the version.
    std::map<std::uint64_t, std::map<std::string, SteadyTime>> informedSince;
};

} // namespace Hyssophall::Administration
