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

/// A whole configuration that operators put in force under a version of their own, as the request path looks things up in it. Immutable.
class ConfiguredCatalogue : public CatalogueLookup
{
public:
    explicit ConfiguredCatalogue(std::shared_ptr<const CatalogueMessages::Configuration> configuration);

    const CatalogueMessages::Configuration &configuration() const;

    /// True once a configuration was put; its version is above zero.
    bool isLoaded() const override;
    std::uint64_t version() const override;

    /// The route of this host with the longest prefix that begins the path.
    std::shared_ptr<const CatalogueMessages::Route> findRoute(std::string_view host, std::string_view method, std::string_view path) const override;
    std::shared_ptr<const CatalogueMessages::Team> findTeam(std::string_view name) const override;
    std::shared_ptr<const CatalogueMessages::Key> findKey(const KeyHash &hash) const override;

private:
    using RoutesByPrefix = std::map<std::string, std::shared_ptr<const CatalogueMessages::Route>, std::less<>>;

    const std::shared_ptr<const CatalogueMessages::Configuration> source;
    std::map<std::string, RoutesByPrefix, std::less<>> routesByHost;
    std::map<std::string, std::shared_ptr<const CatalogueMessages::Team>, std::less<>> teams;
    /// Keys are hashed before the look-up, so its time tells nothing about the keys in force.
    std::map<std::string, std::shared_ptr<const CatalogueMessages::Key>, std::less<>> keys;
};

} // namespace Hyssophall
