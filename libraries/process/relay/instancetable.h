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
 * The instances as they registered themselves, each in its latest life.
 *
 * Registrations arrive late, twice and in any order. A later start of an id or at an address ends the earlier life, and a life that is gone
 * doesn't come back. Not thread-safe.
 */
class InstanceTable
{
public:
    /// Names one life of an instance in messages about its outcomes.
    static std::uint32_t handleOf(const RelayMessages::Registration &registration);

    /// Takes a registration. Returns what changed by it: nothing when it was known or outdated, else it and the lives that it ended.
    std::vector<RelayMessages::Registration> take(const RelayMessages::Registration &registration);

    /// The latest life under this id, or null.
    const RelayMessages::Registration *find(const std::string &id) const;
    const std::map<std::string, RelayMessages::Registration> &all() const;

private:
    using Address = std::pair<std::string, std::uint32_t>;

    std::map<std::string, RelayMessages::Registration> registrations;
    /// The id of the latest life at each address.
    std::map<Address, std::string> ids;
};

} // namespace Hyssophall
