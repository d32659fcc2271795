#pragma once

#include "process/fleet/fleettransport.h"
#include "process/hooks.h"
#include "version/roster.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// Identity, clock and fleet access of this VM for the classes that take part in quorums. All hooks are thread-safe and
/// non-blocking.
struct FleetContext {
    /// Id of this VM in the roster.
    std::string self;
    /// Chosen at random at each start of the process.
    std::uint64_t incarnation = 0;
    SteadyClock clock;
    RandomSource random;
    /// Roster of the catalogue in force; never null.
    std::function<std::shared_ptr<const Roster>()> roster;
    std::function<std::uint64_t()> catalogueVersion;
    /// Must outlive all users of this context.
    FleetTransport *transport = nullptr;
};

/// Greatest difference of roster versions at which any quorum of one roster shares a member with any quorum of the other.
/// A voter refuses callers whose roster version differs by more.
constexpr std::uint64_t maximumRosterVersionDifference = 2;

/// Whether a caller and a voter with these roster versions may vote together.
inline bool areRostersCompatible(std::uint64_t left, std::uint64_t right)
{
    return (left > right ? left - right : right - left) <= maximumRosterVersionDifference;
}

/// Whether a member was admitted to the roster with this incarnation. Its process hasn't restarted since, so it has lost
/// none of its votes, which are held in memory.
inline bool isAdmittedIncarnation(const Roster &roster, const std::string &member, std::uint64_t incarnation)
{
    const CatalogueMessages::Member *entry = roster.find(member);
    return entry != nullptr && incarnation != 0 && entry->admitted_incarnation() == incarnation;
}

} // namespace Hyssophall
