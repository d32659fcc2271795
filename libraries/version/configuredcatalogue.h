#pragma once

#include "catalogue.pb.h"
#include "process/proxy/cataloguelookup.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Hyssophall {

/// Look-up of routes, teams and keys in a whole configuration, which operators activate under a version that they choose. Used for each
/// request. Immutable.
class ConfiguredCatalogue : public CatalogueLookup
{
public:
    explicit ConfiguredCatalogue(std::shared_ptr<const CatalogueMessages::Configuration> configuration);

    const CatalogueMessages::Configuration &configuration() const;

    /// False for the empty configuration before the first one is activated, which has version 0.
    bool isLoaded() const override;
    std::uint64_t version() const override;

    /// The route of this host with the longest path prefix that matches, among those that accept the method, or null.
    std::shared_ptr<const CatalogueMessages::Route> findRoute(std::string_view host, std::string_view method, std::string_view path) const override;
    std::shared_ptr<const CatalogueMessages::Team> findTeam(std::string_view name) const override;
    std::shared_ptr<const CatalogueMessages::Key> findKey(const KeyHash &hash) const override;

private:
    using RoutesByPrefix = std::map<std::string, std::shared_ptr<const CatalogueMessages::Route>, std::less<>>;

    const std::shared_ptr<const CatalogueMessages::Configuration> source;
    std::map<std::string, RoutesByPrefix, std::less<>> routesByHost;
    std::map<std::string, std::shared_ptr<const CatalogueMessages::Team>, std::less<>> teams;
    /// By hash. An ordinary comparison is safe: callers' keys are hashed before the look-up, so its duration reveals nothing about the active keys.
    std::map<std::string, std::shared_ptr<const CatalogueMessages::Key>, std::less<>> keys;
};

} // namespace Hyssophall
