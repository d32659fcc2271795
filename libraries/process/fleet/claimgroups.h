#pragma once

#include "version/committee.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

/// Number of groups that claims are hashed into. All claims of a group have the same committee, that of the name "claims:<group>".
constexpr std::uint32_t claimGroupCount = 1024;

/// SHA-256 of team and idempotency key. The input starts with the length of the team's name, so that distinct pairs have distinct inputs.
std::string claimKeyHash(std::string_view team, std::string_view idempotencyKey);

/// The group, below claimGroupCount, that a key hash belongs to.
std::uint32_t claimGroupOf(std::string_view keyHash);

/// Caches the committees of all groups for the roster that was last passed in. Each is computed on first use. Thread-safe.
class ClaimGroups
{
public:
    /// The committee of a group. Cached because choosing a committee hashes the whole roster.
    std::shared_ptr<const Committee> committeeOf(const Roster &roster, std::uint32_t group);

    /// The groups whose committees include @p member; empty when it isn't in the roster. The result for the last roster and member is cached.
    std::shared_ptr<const std::set<std::uint32_t>> groupsWith(const Roster &roster, const std::string &member);

private:
    std::mutex mutex;
    bool hasRoster = false;
    std::uint64_t rosterVersion = 0;
    std::size_t rosterSize = 0;
    std::vector<std::shared_ptr<const Committee>> committees;
    /// Guards the members below. Separate from mutex, so that committeeOf() doesn't wait while groupsWith() computes all groups.
    std::mutex memberGroupsMutex;
    std::shared_ptr<const std::set<std::uint32_t>> memberGroups;
    std::string memberGroupsOwner;
    std::uint64_t memberGroupsRosterVersion = 0;
    std::size_t memberGroupsRosterSize = 0;
};

} // namespace Hyssophall
