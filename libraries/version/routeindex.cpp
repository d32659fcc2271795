#include "version/routeindex.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

using hyssophall::catalogue::v1::Route;

bool acceptsMethod(const Route &route, std::string_view method)
{
    return route.methods().empty()
        || std::any_of(route.methods().begin(), route.methods().end(), [method](const std::string &accepted) { return accepted == method; });
}

bool haveCommonMethod(const Route &left, const Route &right)
{
    return left.methods().empty() || right.methods().empty()
        || std::any_of(left.methods().begin(), left.methods().end(), [&right](const std::string &method) { return acceptsMethod(right, method); });
}

/// The path without its last segment, or an empty string for "/" and for a path without slash.
std::string_view parentPath(std::string_view path)
{
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos || path.size() == 1) {
        return {};
    }
    return path.substr(0, std::max<std::size_t>(slash, 1));
}

} // namespace

bool RouteIndex::conflictsWithOther(const Route &route) const
{
    const std::shared_ptr<const detail::RoutesOfPrefix> existing = this->prefixes.find(route.path_prefix());
    return existing != nullptr && std::any_of(existing->routes.begin(), existing->routes.end(), [&route](const Entry &other) {
        return other->name() != route.name() && haveCommonMethod(*other, route);
    });
}

void RouteIndex::put(const Entry &route)
{
    if (const Entry previous = this->routes.find(route->name())) {
        this->removeFromPrefix(*previous);
    }
    this->routes.put(route);
    this->addToPrefix(route);
}

void RouteIndex::remove(std::string_view name)
{
    if (const Entry previous = this->routes.find(name)) {
        this->removeFromPrefix(*previous);
        this->routes.remove(name);
    }
}

RouteIndex::Entry RouteIndex::find(std::string_view name) const
{
    return this->routes.find(name);
}

RouteIndex::Entry RouteIndex::find(std::string_view method, std::string_view path) const
{
    for (std::string_view prefix = path; !prefix.empty(); prefix = parentPath(prefix)) {
        // Prefixes above the maximum length can't be in the table. Hashing each of them would take time quadratic in the length of the path.
        const std::shared_ptr<const detail::RoutesOfPrefix> candidates = prefix.size() > maximumPrefixLength ? nullptr : this->prefixes.find(prefix);
        if (candidates == nullptr) {
            continue;
        }
        for (const Entry &route : candidates->routes) {
            if (acceptsMethod(*route, method)) {
                return route;
            }
        }
    }
    return nullptr;
}

std::vector<RouteIndex::Entry> RouteIndex::sorted() const
{
    return this->routes.sorted();
}

void RouteIndex::addToPrefix(const Entry &route)
{
    const std::shared_ptr<const detail::RoutesOfPrefix> existing = this->prefixes.find(route->path_prefix());
    detail::RoutesOfPrefix changed = existing == nullptr ? detail::RoutesOfPrefix{route->path_prefix(), {}} : *existing;
    changed.routes.push_back(route);
    this->prefixes.put(std::make_shared<const detail::RoutesOfPrefix>(std::move(changed)));
}

void RouteIndex::removeFromPrefix(const Route &route)
{
    detail::RoutesOfPrefix changed = *this->prefixes.find(route.path_prefix());
    std::erase_if(changed.routes, [&route](const Entry &existing) { return existing->name() == route.name(); });
    if (changed.routes.empty()) {
        this->prefixes.remove(route.path_prefix());
    } else {
        this->prefixes.put(std::make_shared<const detail::RoutesOfPrefix>(std::move(changed)));
    }
}

} // namespace Hyssophall
