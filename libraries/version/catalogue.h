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

/// Error of Catalogue::applied(), Catalogue::create() and the JSON conversion: a change that would make the catalogue invalid.
struct InvalidChange {
    /// The invalid field, as in "route.service".
    std::string field;
    /// Description of the valid values of the field.
    std::string expected;
};

/**
 * The services, routes, teams, key hashes and the roster that operators have set up, at one version.
 *
 * Immutable, and a request uses the same catalogue from start to end. A change creates a new object that shares all unchanged entries.
 */
class Catalogue
{
public:
    /// The catalogue before the first change, at version 0.
    static std::shared_ptr<const Catalogue> createEmpty();

    /// Creates a catalogue from a snapshot message. Errors: InvalidChange.
    static boost::leaf::result<std::shared_ptr<const Catalogue>> create(const CatalogueMessages::Snapshot &snapshot);

    /// Returns a new catalogue with @p change applied, at the next version. This catalogue stays unchanged. Errors: InvalidChange.
    boost::leaf::result<std::shared_ptr<const Catalogue>> applied(const CatalogueMessages::Change &change) const;

    CatalogueMessages::Snapshot snapshot() const;
    std::uint64_t version() const;
    const Roster &roster() const;

    /// The route with the longest matching path prefix among those that accept this method, or null. A prefix matches whole path segments only:
    /// "/a" matches "/a" and "/a/b" but not "/ab".
    std::shared_ptr<const CatalogueMessages::Route> findRoute(std::string_view method, std::string_view path) const;
    std::shared_ptr<const CatalogueMessages::Team> findTeam(std::string_view name) const;
    std::shared_ptr<const CatalogueMessages::Service> findService(std::string_view name) const;

    /// The key with this hash, or null if it is unknown or withdrawn. Hashes are compared in constant time.
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
    void changeReferenceCounts(const CatalogueMessages::Route &route, int difference);

    std::uint64_t versionNumber = 0;
    std::shared_ptr<const Roster> members;
    detail::ServiceTable services;
    RouteIndex routes;
    detail::TeamTable teams;
    detail::KeyTable keys;
    detail::KeyHashTable keyHashes;
};

} // namespace Hyssophall
