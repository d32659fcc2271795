#include "version/configuredcatalogue.h"

#include "process/keyhash.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

void addRoute(CatalogueMessages::Configuration &configuration, const std::string &name, const std::string &host, const std::string &prefix)
{
    CatalogueMessages::Route &route = *configuration.add_routes();
    route.set_name(name);
    route.set_host(host);
    route.set_path_prefix(prefix);
}

std::string routeOf(const ConfiguredCatalogue &catalogue, const std::string &host, const std::string &path)
{
    const std::shared_ptr<const CatalogueMessages::Route> route = catalogue.findRoute(host, "GET", path);
    return route == nullptr ? "" : route->name();
}

} // namespace

// Guards against a request matching a route of another host, a shorter prefix than the longest one, or a prefix that ends within a path segment.
CATCH_TEST_CASE("A request matches the route of its host with the longest path prefix", "[catalogue]")
{
    const std::shared_ptr<CatalogueMessages::Configuration> configuration = std::make_shared<CatalogueMessages::Configuration>();
    CATCH_CHECK_FALSE(ConfiguredCatalogue(configuration).isLoaded());
    configuration->set_version(3);
    addRoute(*configuration, "all", "a.example", "/");
    addRoute(*configuration, "short", "a.example", "/x/");
    addRoute(*configuration, "long", "a.example", "/x/y/");
    addRoute(*configuration, "other", "b.example", "/x/");
    const ConfiguredCatalogue catalogue(configuration);
    CATCH_CHECK(catalogue.isLoaded());
    CATCH_CHECK(routeOf(catalogue, "a.example", "/x/y/z") == "long");
    CATCH_CHECK(routeOf(catalogue, "a.example", "/x/y") == "short");
    CATCH_CHECK(routeOf(catalogue, "a.example", "/xy") == "all");
    CATCH_CHECK(routeOf(catalogue, "b.example", "/x/y/z") == "other");
    CATCH_CHECK(routeOf(catalogue, "b.example", "/z").empty());
    CATCH_CHECK(routeOf(catalogue, "c.example", "/x/").empty());
}

// Guards against a key that is found as another team's key, or that is found though the configuration doesn't contain it (as after withdrawal).
CATCH_TEST_CASE("A key is found only by its own hash", "[catalogue][key-isolation]")
{
    const std::shared_ptr<CatalogueMessages::Configuration> configuration = std::make_shared<CatalogueMessages::Configuration>();
    configuration->add_teams()->set_name("red");
    CatalogueMessages::Key &key = *configuration->add_keys();
    key.set_team("red");
    key.set_hash(hashBytes(hashKey("secret")));
    const ConfiguredCatalogue catalogue(configuration);
    CATCH_CHECK(catalogue.findKey(hashKey("secret"))->team() == "red");
    CATCH_CHECK(catalogue.findKey(hashKey("secret2")) == nullptr);
    CATCH_CHECK(catalogue.findTeam("red") != nullptr);
}
