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

/// Short name for the generated namespace.
namespace CatalogueMessages = hyssophall::catalogue::v1;

/// The VMs that operators have admitted to the fleet, running or not, in ascending order of their ids.
class Roster
{
public:
    Roster() = default;

    /// @p version is the number of changes of the roster. It is independent of the catalogue's version.
    Roster(std::uint64_t version, std::vector<CatalogueMessages::Member> members);

    std::uint64_t version() const;
    const std::vector<CatalogueMessages::Member> &members() const;

    /// The member with this id, or null. The pointer is valid as long as the roster exists.
    const CatalogueMessages::Member *find(std::string_view id) const;

    /// The indexes of members() that belong to each failure domain.
    const std::map<std::string, std::vector<std::size_t>, std::less<>> &positionsByDomain() const;

private:
    std::uint64_t versionNumber = 0;
    std::vector<CatalogueMessages::Member> sortedMembers;
    std::map<std::string, std::vector<std::size_t>, std::less<>> domains;
};

} // namespace Hyssophall
