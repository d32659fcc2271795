#pragma once

#include "catalogue.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

/// Short names for the generated namespaces.
namespace CatalogueMessages = hyssophall::catalogue::v1;

/// The VMs that operators have admitted to the fleet, whether they run or not, in ascending order of their ids.
class Roster
{
public:
    Roster() = default;

    /// @p version counts the changes of the roster alone.
    Roster(std::uint64_t version, std::vector<CatalogueMessages::Member> members);

    std::uint64_t version() const;
    const std::vector<CatalogueMessages::Member> &members() const;

    /// The member with this id, or null. Valid as long as the roster.
    const CatalogueMessages::Member *find(std::string_view id) const;

    /// Positions in members() by failure domain.
    const std::map<std::string, std::vector<std::size_t>, std::less<>> &positionsByDomain() const;

private:
    std::uint64_t versionNumber = 0;
    std::vector<CatalogueMessages::Member> sortedMembers;
    std::map<std::string, std::vector<std::size_t>, std::less<>> domains;
};

} // namespace Hyssophall
