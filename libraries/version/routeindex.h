#pragma once

#include "version/cataloguetables.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

/// Finds routes by name and by path prefix. Copies are cheap, as they share all entries that neither of them has changed since.
class RouteIndex
{
public:
    using Entry = std::shared_ptr<const hyssophall::catalogue::v1::Route>;

    /// Maximum length of a route's path prefix, in bytes.
    static constexpr std::size_t maximumPrefixLength = 512;

    /// Whether another route has the same prefix and a method in common with @p route, so that a request could match both.
    bool conflictsWithOther(const hyssophall::catalogue::v1::Route &route) const;

    void put(const Entry &route);
    void remove(std::string_view name);

    /// The route with this name, or null.
    Entry find(std::string_view name) const;

    /// The route with the longest matching path prefix among those that accept this method, or null.
    Entry find(std::string_view method, std::string_view path) const;

    /// All routes in ascending order of their names.
    std::vector<Entry> sorted() const;

private:
    void addToPrefix(const Entry &route);
    void removeFromPrefix(const hyssophall::catalogue::v1::Route &route);

    detail::RouteTable routes;
    detail::PrefixTable prefixes;
};

} // namespace Hyssophall
