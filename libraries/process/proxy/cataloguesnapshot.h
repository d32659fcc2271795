#pragma once

#include "process/proxy/cataloguelookup.h"

namespace Hyssophall {

/// Adapts one version of the Catalogue to the CatalogueLookup interface. Routes don't depend on the host.
class CatalogueSnapshot : public CatalogueLookup
{
public:
    explicit CatalogueSnapshot(std::shared_ptr<const Catalogue> catalogue);

    std::uint64_t version() const override;
    std::shared_ptr<const CatalogueMessages::Route> findRoute(std::string_view host, std::string_view method, std::string_view path) const override;
    std::shared_ptr<const CatalogueMessages::Team> findTeam(std::string_view name) const override;
    std::shared_ptr<const CatalogueMessages::Key> findKey(const KeyHash &hash) const override;

private:
    const std::shared_ptr<const Catalogue> catalogue;
};

} // namespace Hyssophall
