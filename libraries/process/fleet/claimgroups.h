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

/// Groups that the claims are spread over; all claims of a group have the same committee, "claims:<group>".
constexpr std::uint32_t claimGroupCount = 1024;

/// SHA-256 of team and idempotency key. Distinct pairs have distinct inputs: the team's length comes first.
std::string claimKeyHash(std::string_view team, std::string_view idempotencyKey);

/// The group of a key hash.
std::uint32_t claimGroupOf(std::string_view keyHash);

/// The committees of the groups for the latest roster, computed on first use. Thread-safe.
class ClaimGroups
{
public:
    /// Groups keep a claim's committee to one look-up: choosing it anew hashes the whole roster.
    std::shared_ptr<const Committee> committeeOf(const Roster &roster, std::uint32_t group);

    /// The groups whose committees have @p member; empty when it isn't in the roster. The answer for the latest roster is kept.
    std::shared_ptr<const std::set<std::uint32_t>> groupsWith(const Roster &roster, const std::string &member);

private:
    std::mutex mutex;
    bool known = false;
    std::uint64_t rosterVersion = 0;
    std::size_t rosterSize = 0;
    std::vector<std::shared_ptr<const Committee>> committees;
    /// Apart from the other, so that look-ups of committees don't wait for it.
    std::mutex presenceMutex;
    std::shared_ptr<const std::set<std::uint32_t>> presence;
    std::string presenceOf;
    std::uint64_t presenceVersion = 0;
    std::size_t presenceRosterSize = 0;
};

} // namespace Hyssophall
