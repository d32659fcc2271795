#include "version/roster.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

bool isBefore(const CatalogueMessages::Member &left, const CatalogueMessages::Member &right)
{
    return left.id() < right.id();
}

} // namespace

Roster::Roster(std::uint64_t version, std::vector<CatalogueMessages::Member> members)
    : versionNumber(version)
    , sortedMembers(std::move(members))
{
    std::sort(this->sortedMembers.begin(), this->sortedMembers.end(), isBefore);
    for (std::size_t position = 0; position < this->sortedMembers.size(); ++position) {
        this->domains[this->sortedMembers[position].failure_domain()].push_back(position);
    }
}

const std::map<std::string, std::vector<std::size_t>, std::less<>> &Roster::positionsByDomain() const
{
    return this->domains;
}

std::uint64_t Roster::version() const
{
    return this->versionNumber;
}

const std::vector<CatalogueMessages::Member> &Roster::members() const
{
    return this->sortedMembers;
}

const CatalogueMessages::Member *Roster::find(std::string_view id) const
{
    const auto position
        = std::lower_bound(this->sortedMembers.begin(), this->sortedMembers.end(), id, [](const CatalogueMessages::Member &member, std::string_view wanted) {
              return member.id() < wanted;
          });
    if (position == this->sortedMembers.end() || position->id() != id) {
        return nullptr;
    }
    return &*position;
}

} // namespace Hyssophall
