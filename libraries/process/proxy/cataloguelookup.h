#pragma once

#include "version/catalogue.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Hyssophall {

/// Interface for looking up routes, teams and keys in one version of the catalogue; used to handle requests and mocked in tests. Immutable.
class CatalogueLookup
{
public:
    virtual ~CatalogueLookup() = default;
    /// False until the VM has its first catalogue. Until then, a route, team or key that isn't found may exist nevertheless.
    virtual bool isLoaded() const
    {
        return true;
    }

    /// Version of the catalogue, for the request log; zero when there is none.
    virtual std::uint64_t version() const
    {
        return 0;
    }

    /// Null if no route matches. @p host is empty for a request without a Host header.
    virtual std::shared_ptr<const CatalogueMessages::Route> findRoute(std::string_view host, std::string_view method, std::string_view path) const = 0;
    virtual std::shared_ptr<const CatalogueMessages::Team> findTeam(std::string_view name) const = 0;
    virtual std::shared_ptr<const CatalogueMessages::Key> findKey(const KeyHash &hash) const = 0;
};

/// Returns the current version of the catalogue; called for each request.
using CatalogueLookupSource = std::function<std::shared_ptr<const CatalogueLookup>()>;

} // namespace Hyssophall
