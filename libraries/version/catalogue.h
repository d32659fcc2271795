#pragma once

#include "catalogue.pb.h"
#include "version/roster.h"

#include <boost/leaf/result.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Hyssophall {

/// SHA-256 of a key. Keys themselves are never kept.
using KeyHash = std::array<std::uint8_t, 32>;

/// A change that would leave the catalogue without meaning. Source: Catalogue::applied().
struct InvalidChange {
    /// The field, as in "route.service".
    std::string field;
    /// What the field must hold.
    std::string expected;
};

/**
 * All that operators have put in force up to one version: services, routes, teams, key hashes and the roster.
 *
 * Immutable; a request uses one catalogue from its start to its end. A change makes a new object that shares what it didn't change.
 */
class Catalogue
{
public:
    /// The catalogue before the first change, at version 0.
    static std::shared_ptr<const Catalogue> createEmpty();

    /// Builds a catalogue from its wire form. Errors: InvalidChange.
    static boost::leaf::result<std::shared_ptr<const Catalogue>> create(const CatalogueMessages::Snapshot &snapshot);

    /// The catalogue after @p change, at the next version. Errors: InvalidChange; this catalogue is unchanged in any case.
    boost::leaf::result<std::shared_ptr<const Catalogue>> applied(const CatalogueMessages::Change &change) const;

    CatalogueMessages::Snapshot snapshot() const;
    std::uint64_t version() const;
    const Roster &roster() const;

    /// The route with the longest path prefix that takes this method, or nothing. Prefixes end at a path segment.
    std::shared_ptr<const CatalogueMessages::Route> findRoute(std::string_view method, std::string_view path) const;
    std::shared_ptr<const CatalogueMessages::Team> findTeam(std::string_view name) const;
    std::shared_ptr<const CatalogueMessages::Service> findService(std::string_view name) const;

    /// The key with this hash, or nothing for an unknown or withdrawn one. The whole hash is compared in constant time.
    std::shared_ptr<const CatalogueMessages::Key> findKey(const KeyHash &hash) const;

private:
    template<typename Value>
    using Table = std::map<std::string, std::shared_ptr<const Value>, std::less<>>;

    std::uint64_t versionNumber = 0;
    Roster members;
    std::shared_ptr<const Table<CatalogueMessages::Service>> services;
    std::shared_ptr<const Table<CatalogueMessages::Route>> routes;
    std::shared_ptr<const Table<CatalogueMessages::Team>> teams;
    std::shared_ptr<const Table<CatalogueMessages::Key>> keys;
};

} // namespace Hyssophall
