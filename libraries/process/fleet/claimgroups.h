#pragma once

#include "version/committee.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
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

private:
    std::mutex mutex;
    bool known = false;
    std::uint64_t rosterVersion = 0;
    std::size_t rosterSize = 0;
    std::vector<std::shared_ptr<const Committee>> committees;
};

} // namespace Hyssophall
