#include "version/catalogue.h"

#include "version/changevalidation.h"

#include <boost/leaf/error.hpp>

#include <optional>
#include <set>
#include <utility>

namespace Hyssophall {

namespace leaf = boost::leaf;

namespace {

constexpr const char *expectedExistingName = "the name of an existing entry";

/// Adds or replaces an entry. A replaced entry's reference count is kept.
template<typename Message>
void putReferenced(detail::ReferencedTable<Message> &table, const Message &message)
{
    const std::shared_ptr<const detail::Referenced<Message>> previous = table.find(message.name());
    table.put(std::make_shared<const detail::Referenced<Message>>(detail::Referenced<Message>{message, previous == nullptr ? 0 : previous->referenceCount}));
}

/// The entry must exist. Callers check references before they count them.
template<typename Message>
void changeReferenceCount(detail::ReferencedTable<Message> &table, const std::string &name, int difference)
{
    detail::Referenced<Message> changed = *table.find(name);
    changed.referenceCount += static_cast<std::size_t>(difference);
    table.put(std::make_shared<const detail::Referenced<Message>>(std::move(changed)));
}

template<typename Message>
leaf::result<void> removeReferenced(detail::ReferencedTable<Message> &table, const std::string &name, const char *field, const char *expected)
{
    const std::shared_ptr<const detail::Referenced<Message>> existing = table.find(name);
    if (existing == nullptr) {
        return leaf::new_error(InvalidChange{field, expectedExistingName});
    }
    if (existing->referenceCount > 0) {
        return leaf::new_error(InvalidChange{field, expected});
    }
    table.remove(name);
    return {};
}

template<typename Message>
std::shared_ptr<const Message> findReferenced(const detail::ReferencedTable<Message> &table, std::string_view name)
{
    const std::shared_ptr<const detail::Referenced<Message>> existing = table.find(name);
    return existing == nullptr ? nullptr : std::shared_ptr<const Message>(existing, &existing->message);
}

template<typename Message>
leaf::result<void> checkEntry(const Message &message)
{
    if (std::optional<InvalidChange> error = findInvalidField(message)) {
        return leaf::new_error(std::move(*error));
    }
    return {};
}

leaf::result<void> checkAddresses(const std::vector<CatalogueMessages::Member> &members)
{
    std::set<std::string_view> addresses;
    for (const CatalogueMessages::Member &member : members) {
        if (!addresses.insert(member.fleet_address()).second) {
            return leaf::new_error(InvalidChange{"member.fleet_address", "an address that no other member has"});
        }
    }
    return {};
}

} // namespace

std::shared_ptr<const Catalogue> Catalogue::createEmpty()
{
    const std::shared_ptr<Catalogue> catalogue = std::make_shared<Catalogue>();
    catalogue->members = std::make_shared<const Roster>();
    return catalogue;
}

leaf::result<std::shared_ptr<const Catalogue>> Catalogue::create(const CatalogueMessages::Snapshot &snapshot)
{
    const std::shared_ptr<Catalogue> catalogue = std::make_shared<Catalogue>();
    catalogue->versionNumber = snapshot.version();
    // Entries are added after the entries that they refer to, because references are checked on insertion.
    for (const CatalogueMessages::Service &service : snapshot.services()) {
        BOOST_LEAF_CHECK(catalogue->putService(service));
    }
    for (const CatalogueMessages::Team &team : snapshot.teams()) {
        BOOST_LEAF_CHECK(catalogue->putTeam(team));
    }
    for (const CatalogueMessages::Route &route : snapshot.routes()) {
        BOOST_LEAF_CHECK(catalogue->putRoute(route));
    }
    for (const CatalogueMessages::Key &key : snapshot.keys()) {
        BOOST_LEAF_CHECK(catalogue->putKey(key));
    }
    BOOST_LEAF_CHECK(catalogue->loadMembers(snapshot));
    return std::shared_ptr<const Catalogue>(catalogue);
}

leaf::result<std::shared_ptr<const Catalogue>> Catalogue::applied(const CatalogueMessages::Change &change) const
{
    const std::shared_ptr<Catalogue> next = std::make_shared<Catalogue>(*this);
    BOOST_LEAF_CHECK(next->apply(change));
    ++next->versionNumber;
    return std::shared_ptr<const Catalogue>(next);
}

Catalogue::Result Catalogue::apply(const CatalogueMessages::Change &change)
{
    switch (change.kind_case()) {
    case CatalogueMessages::Change::kPutService:
        return this->putService(change.put_service());
    case CatalogueMessages::Change::kRemoveService:
        return this->removeService(change.remove_service());
    case CatalogueMessages::Change::kPutRoute:
        return this->putRoute(change.put_route());
    case CatalogueMessages::Change::kRemoveRoute:
        return this->removeRoute(change.remove_route());
    case CatalogueMessages::Change::kPutTeam:
        return this->putTeam(change.put_team());
    case CatalogueMessages::Change::kRemoveTeam:
        return this->removeTeam(change.remove_team());
    case CatalogueMessages::Change::kPutKey:
        return this->putKey(change.put_key());
    case CatalogueMessages::Change::kWithdrawKey:
        return this->withdrawKey(change.withdraw_key());
    case CatalogueMessages::Change::kAdmitMember:
        return this->admitMember(change.admit_member());
    case CatalogueMessages::Change::kRemoveMember:
        return this->removeMember(change.remove_member());
    case CatalogueMessages::Change::kAdmitFirstMembers:
        return this->admitFirstMembers(change.admit_first_members());
    case CatalogueMessages::Change::kReplaceConfiguration:
    case CatalogueMessages::Change::kReadBarrier:
        return leaf::new_error(InvalidChange{"change", "a change of one entry; whole configurations need relay.enabled"});
    case CatalogueMessages::Change::KIND_NOT_SET:
        break;
    }
    return leaf::new_error(InvalidChange{"change", "exactly one kind of change"});
}

Catalogue::Result Catalogue::putService(const CatalogueMessages::Service &service)
{
    BOOST_LEAF_CHECK(checkEntry(service));
    putReferenced(this->services, service);
    return {};
}

Catalogue::Result Catalogue::removeService(const std::string &name)
{
    return removeReferenced(this->services, name, "remove_service", "a service that no route names");
}

Catalogue::Result Catalogue::putRoute(const CatalogueMessages::Route &route)
{
    BOOST_LEAF_CHECK(checkEntry(route));
    BOOST_LEAF_CHECK(this->checkReferences(route));
    if (this->routes.conflictsWithOther(route)) {
        return leaf::new_error(InvalidChange{"route.path_prefix", "a prefix and methods that no other route takes"});
    }
    if (const std::shared_ptr<const CatalogueMessages::Route> previous = this->routes.find(route.name())) {
        this->changeReferenceCounts(*previous, -1);
    }
    const std::shared_ptr<const CatalogueMessages::Route> entry = std::make_shared<const CatalogueMessages::Route>(route);
    this->routes.put(entry);
    this->changeReferenceCounts(route, 1);
    return {};
}

Catalogue::Result Catalogue::removeRoute(const std::string &name)
{
    const std::shared_ptr<const CatalogueMessages::Route> previous = this->routes.find(name);
    if (previous == nullptr) {
        return leaf::new_error(InvalidChange{"remove_route", expectedExistingName});
    }
    this->changeReferenceCounts(*previous, -1);
    this->routes.remove(name);
    return {};
}

Catalogue::Result Catalogue::putTeam(const CatalogueMessages::Team &team)
{
    BOOST_LEAF_CHECK(checkEntry(team));
    putReferenced(this->teams, team);
    return {};
}

Catalogue::Result Catalogue::removeTeam(const std::string &name)
{
    return removeReferenced(this->teams, name, "remove_team", "a team that no route and no key names");
}

Catalogue::Result Catalogue::putKey(const CatalogueMessages::Key &key)
{
    BOOST_LEAF_CHECK(checkEntry(key));
    if (this->teams.find(key.team()) == nullptr) {
        return leaf::new_error(InvalidChange{"key.team", "the name of an existing team"});
    }
    const std::shared_ptr<const CatalogueMessages::Key> sameHash = this->keyHashes.find(key.hash());
    if (sameHash != nullptr && sameHash->id() != key.id()) {
        return leaf::new_error(InvalidChange{"key.hash", "a hash that no other key has"});
    }
    if (const std::shared_ptr<const CatalogueMessages::Key> previous = this->keys.find(key.id())) {
        this->keyHashes.remove(previous->hash());
        changeReferenceCount(this->teams, previous->team(), -1);
    }
    const std::shared_ptr<const CatalogueMessages::Key> entry = std::make_shared<const CatalogueMessages::Key>(key);
    this->keys.put(entry);
    this->keyHashes.put(entry);
    changeReferenceCount(this->teams, key.team(), 1);
    return {};
}

Catalogue::Result Catalogue::withdrawKey(const std::string &id)
{
    const std::shared_ptr<const CatalogueMessages::Key> previous = this->keys.find(id);
    if (previous == nullptr) {
        return leaf::new_error(InvalidChange{"withdraw_key", "the id of an existing key"});
    }
    this->keyHashes.remove(previous->hash());
    changeReferenceCount(this->teams, previous->team(), -1);
    this->keys.remove(id);
    return {};
}

Catalogue::Result Catalogue::admitMember(const CatalogueMessages::Member &member)
{
    BOOST_LEAF_CHECK(checkEntry(member));
    std::vector<CatalogueMessages::Member> admitted;
    for (const CatalogueMessages::Member &existing : this->members->members()) {
        if (existing.id() != member.id()) {
            admitted.push_back(existing);
        }
    }
    admitted.push_back(member);
    BOOST_LEAF_CHECK(checkAddresses(admitted));
    this->members = std::make_shared<const Roster>(this->members->version() + 1, std::move(admitted));
    return {};
}

Catalogue::Result Catalogue::admitFirstMembers(const CatalogueMessages::MemberList &first)
{
    if (!this->members->members().empty()) {
        return leaf::new_error(InvalidChange{"admit_first_members", "a roster without members"});
    }
    CatalogueMessages::Snapshot snapshot;
    *snapshot.mutable_members() = first.members();
    snapshot.set_roster_version(this->members->version() + 1);
    return this->loadMembers(snapshot);
}

Catalogue::Result Catalogue::removeMember(const std::string &id)
{
    if (this->members->find(id) == nullptr) {
        return leaf::new_error(InvalidChange{"remove_member", "the id of a member"});
    }
    std::vector<CatalogueMessages::Member> remaining;
    for (const CatalogueMessages::Member &existing : this->members->members()) {
        if (existing.id() != id) {
            remaining.push_back(existing);
        }
    }
    this->members = std::make_shared<const Roster>(this->members->version() + 1, std::move(remaining));
    return {};
}

Catalogue::Result Catalogue::loadMembers(const CatalogueMessages::Snapshot &snapshot)
{
    std::vector<CatalogueMessages::Member> admitted;
    std::set<std::string_view> ids;
    for (const CatalogueMessages::Member &member : snapshot.members()) {
        BOOST_LEAF_CHECK(checkEntry(member));
        if (!ids.insert(member.id()).second) {
            return leaf::new_error(InvalidChange{"member.id", "an id that no other member has"});
        }
        admitted.push_back(member);
    }
    BOOST_LEAF_CHECK(checkAddresses(admitted));
    this->members = std::make_shared<const Roster>(snapshot.roster_version(), std::move(admitted));
    return {};
}

Catalogue::Result Catalogue::checkReferences(const CatalogueMessages::Route &route) const
{
    if (this->services.find(route.service()) == nullptr) {
        return leaf::new_error(InvalidChange{"route.service", "the name of an existing service"});
    }
    for (const std::string &team : route.teams()) {
        if (this->teams.find(team) == nullptr) {
            return leaf::new_error(InvalidChange{"route.teams", "names of existing teams"});
        }
    }
    return {};
}

void Catalogue::changeReferenceCounts(const CatalogueMessages::Route &route, int difference)
{
    changeReferenceCount(this->services, route.service(), difference);
    for (const std::string &team : route.teams()) {
        changeReferenceCount(this->teams, team, difference);
    }
}

CatalogueMessages::Snapshot Catalogue::snapshot() const
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_version(this->versionNumber);
    snapshot.set_roster_version(this->members->version());
    for (const detail::ServiceTable::Entry &service : this->services.sorted()) {
        *snapshot.add_services() = service->message;
    }
    for (const std::shared_ptr<const CatalogueMessages::Route> &route : this->routes.sorted()) {
        *snapshot.add_routes() = *route;
    }
    for (const detail::TeamTable::Entry &team : this->teams.sorted()) {
        *snapshot.add_teams() = team->message;
    }
    for (const std::shared_ptr<const CatalogueMessages::Key> &key : this->keys.sorted()) {
        *snapshot.add_keys() = *key;
    }
    for (const CatalogueMessages::Member &member : this->members->members()) {
        *snapshot.add_members() = member;
    }
    return snapshot;
}

std::uint64_t Catalogue::version() const
{
    return this->versionNumber;
}

const Roster &Catalogue::roster() const
{
    return *this->members;
}

std::shared_ptr<const CatalogueMessages::Route> Catalogue::findRoute(std::string_view method, std::string_view path) const
{
    return this->routes.find(method, path);
}

std::shared_ptr<const CatalogueMessages::Team> Catalogue::findTeam(std::string_view name) const
{
    return findReferenced(this->teams, name);
}

std::shared_ptr<const CatalogueMessages::Service> Catalogue::findService(std::string_view name) const
{
    return findReferenced(this->services, name);
}

std::shared_ptr<const CatalogueMessages::Key> Catalogue::findKey(const KeyHash &hash) const
{
    return this->keyHashes.find(std::string_view(reinterpret_cast<const char *>(hash.data()), hash.size()));
}

} // namespace Hyssophall
