#pragma once

#include "catalogue.pb.h"
#include "version/cataloguetables.h"
#include "version/roster.h"
#include "version/routeindex.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Hyssophall {

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
    using Result = boost::leaf::result<void>;

    Result apply(const CatalogueMessages::Change &change);
    Result putService(const CatalogueMessages::Service &service);
    Result removeService(const std::string &name);
    Result putRoute(const CatalogueMessages::Route &route);
    Result removeRoute(const std::string &name);
    Result putTeam(const CatalogueMessages::Team &team);
    Result removeTeam(const std::string &name);
    Result putKey(const CatalogueMessages::Key &key);
    Result withdrawKey(const std::string &id);
    Result admitMember(const CatalogueMessages::Member &member);
    Result removeMember(const std::string &id);
    Result admitFirstMembers(const CatalogueMessages::MemberList &first);
    Result loadMembers(const CatalogueMessages::Snapshot &snapshot);

    Result checkReferences(const CatalogueMessages::Route &route) const;
    void countUses(const CatalogueMessages::Route &route, int difference);

    std::uint64_t versionNumber = 0;
    std::shared_ptr<const Roster> members;
    detail::ServiceTable services;
    RouteIndex routes;
    detail::TeamTable teams;
    detail::KeyTable keys;
    detail::KeyHashTable keyHashes;
};

} // namespace Hyssophall
