#pragma once

#include "relay.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/**
 * The instances by id, each with the latest registration of its latest incarnation. An incarnation is the time from one start of the
 * instance's process to its end.
 *
 * Registrations may arrive late, twice and in any order. A later start with the same id or at the same address ends the earlier incarnation,
 * and an incarnation in state GONE never changes its state again. Not thread-safe.
 */
class InstanceTable
{
public:
    /// Identifies one incarnation of an instance in messages about its outcomes: a 32-bit hash of its id and start time.
    static std::uint32_t handleOf(const RelayMessages::Registration &registration);

    /// Applies a registration. Returns the registrations that changed: none when it was known or outdated, otherwise this one and, before it,
    /// that of the incarnation that it ended.
    std::vector<RelayMessages::Registration> apply(const RelayMessages::Registration &registration);

    /// The latest incarnation with this id, or null.
    const RelayMessages::Registration *find(const std::string &id) const;
    const std::map<std::string, RelayMessages::Registration> &all() const;

private:
    using Address = std::pair<std::string, std::uint32_t>;

    std::map<std::string, RelayMessages::Registration> registrations;
    /// The id of the latest incarnation at each address.
    std::map<Address, std::string> ids;
};

} // namespace Hyssophall
