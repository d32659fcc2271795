#include "process/proxy/cataloguesnapshot.h"

#include <utility>

namespace Hyssophall {

CatalogueSnapshot::CatalogueSnapshot(std::shared_ptr<const Catalogue> catalogue)
    : catalogue(std::move(catalogue))
{
}

std::uint64_t CatalogueSnapshot::version() const
{
    return this->catalogue->version();
}

std::shared_ptr<const CatalogueMessages::Route> CatalogueSnapshot::findRoute(std::string_view, std::string_view method, std::string_view path) const
{
    return this->catalogue->findRoute(method, path);
}

std::shared_ptr<const CatalogueMessages::Team> CatalogueSnapshot::findTeam(std::string_view name) const
{
    return this->catalogue->findTeam(name);
}

std::shared_ptr<const CatalogueMessages::Key> CatalogueSnapshot::findKey(const KeyHash &hash) const
{
    return this->catalogue->findKey(hash);
}

} // namespace Hyssophall
