#pragma once

#include "process/fleet/fleettransport.h"
#include "process/hooks.h"
#include "version/roster.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// What the parts of a VM that take part in quorums know of their surroundings. All hooks are thread-safe and don't block.
struct FleetContext {
    /// Id of this VM in the roster.
    std::string self;
    /// Random at each start of the process.
    std::uint64_t incarnation = 0;
    SteadyClock clock;
    RandomSource random;
    /// Roster of the catalogue in force; never null.
    std::function<std::shared_ptr<const Roster>()> roster;
    std::function<std::uint64_t()> catalogueVersion;
    /// Must outlive every user of the context.
    FleetTransport *transport = nullptr;
};

/// Rosters this many changes apart still have quorums that meet; a voter refuses callers that are further apart.
constexpr std::uint64_t maximumRosterDistance = 2;

/// Whether two roster versions are near enough for a vote.
inline bool rostersMeet(std::uint64_t left, std::uint64_t right)
{
    return (left > right ? left - right : right - left) <= maximumRosterDistance;
}

/// True for a process that was admitted to the roster with its present incarnation and so has forgotten no vote.
inline bool isAdmittedIncarnation(const Roster &roster, const std::string &member, std::uint64_t incarnation)
{
    const CatalogueMessages::Member *entry = roster.find(member);
    return entry != nullptr && incarnation != 0 && entry->admitted_incarnation() == incarnation;
}

} // namespace Hyssophall
