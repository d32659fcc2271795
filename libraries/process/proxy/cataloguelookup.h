#pragma once

#include "version/catalogue.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Hyssophall {

/// What the request path asks of one catalogue version; tests put a mock in its place. Immutable.
class CatalogueLookup
{
public:
    virtual ~CatalogueLookup() = default;
    /// False before the first catalogue has come, when nothing may be concluded from what isn't found.
    virtual bool isLoaded() const
    {
        return true;
    }

    /// For the log.
    virtual std::uint64_t version() const
    {
        return 0;
    }

    /// @p host is empty for a request without the header.
    virtual std::shared_ptr<const CatalogueMessages::Route> findRoute(std::string_view host, std::string_view method, std::string_view path) const = 0;
    virtual std::shared_ptr<const CatalogueMessages::Team> findTeam(std::string_view name) const = 0;
    virtual std::shared_ptr<const CatalogueMessages::Key> findKey(const KeyHash &hash) const = 0;
};

/// Source of the catalogue in force.
using CatalogueLookupSource = std::function<std::shared_ptr<const CatalogueLookup>()>;

} // namespace Hyssophall
