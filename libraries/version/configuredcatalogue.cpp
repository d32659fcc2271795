#include "version/configuredcatalogue.h"

#include "process/keyhash.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

bool acceptsMethod(const CatalogueMessages::Route &route, std::string_view method)
{
    return route.methods().empty()
        || std::any_of(route.methods().begin(), route.methods().end(), [method](const std::string &accepted) { return accepted == method; });
}

} // namespace

ConfiguredCatalogue::ConfiguredCatalogue(std::shared_ptr<const CatalogueMessages::Configuration> configuration)
    : source(std::move(configuration))
{
    // Each entry is an aliasing pointer that keeps the whole configuration message alive.
    for (const CatalogueMessages::Route &route : this->source->routes()) {
        this->routesByHost[route.host()][route.path_prefix()] = std::shared_ptr<const CatalogueMessages::Route>(this->source, &route);
    }
    for (const CatalogueMessages::Team &team : this->source->teams()) {
        this->teams[team.name()] = std::shared_ptr<const CatalogueMessages::Team>(this->source, &team);
    }
    for (const CatalogueMessages::Key &key : this->source->keys()) {
        this->keys[key.hash()] = std::shared_ptr<const CatalogueMessages::Key>(this->source, &key);
    }
}

const CatalogueMessages::Configuration &ConfiguredCatalogue::configuration() const
{
    return *this->source;
}

bool ConfiguredCatalogue::isLoaded() const
{
    return this->source->version() > 0;
}

std::uint64_t ConfiguredCatalogue::version() const
{
    return this->source->version();
}

std::shared_ptr<const CatalogueMessages::Route> ConfiguredCatalogue::findRoute(std::string_view host, std::string_view method, std::string_view path) const
{
    const auto routes = this->routesByHost.find(host);
    if (routes == this->routesByHost.end()) {
        return nullptr;
    }
    // Prefixes of configured routes end with a slash. Each slash of the path, from last to first, ends a possible prefix, so the longest is tried first.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end() && acceptsMethod(*found->second, method)) {
            return found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

std::shared_ptr<const CatalogueMessages::Team> ConfiguredCatalogue::findTeam(std::string_view name) const
{
    const auto found = this->teams.find(name);
    return found == this->teams.end() ? nullptr : found->second;
}

std::shared_ptr<const CatalogueMessages::Key> ConfiguredCatalogue::findKey(const KeyHash &hash) const
{
    const auto found = this->keys.find(hashBytes(hash));
    return found == this->keys.end() ? nullptr : found->second;
}

} // namespace Hyssophall
