#include "version/catalogue.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <string>

using namespace Hyssophall;
using CatalogueMessages::Change;

namespace {

using Random = std::mt19937_64;

std::string randomName(Random &random, const std::string &kind, std::uint64_t count)
{
    return kind + std::to_string(random() % count);
}

/// Reference implementation with plain maps and without indexes: each rule is a linear search over all entries.
class NaiveCatalogue
{
public:
    bool apply(const Change &change)
    {
        switch (change.kind_case()) {
        case Change::kPutService:
            this->services[change.put_service().name()] = change.put_service();
            return true;
        case Change::kRemoveService:
            return !this->isUsed(change.remove_service(), "") && this->services.erase(change.remove_service()) > 0;
        case Change::kPutRoute:
            return this->putRoute(change.put_route());
        case Change::kRemoveRoute:
            return this->routes.erase(change.remove_route()) > 0;
        case Change::kPutTeam:
            this->teams[change.put_team().name()] = change.put_team();
            return true;
        case Change::kRemoveTeam:
            return !this->isUsed("", change.remove_team()) && this->teams.erase(change.remove_team()) > 0;
        case Change::kPutKey:
            return this->putKey(change.put_key());
        case Change::kWithdrawKey:
            return this->keys.erase(change.withdraw_key()) > 0;
        default:
            return false;
        }
    }

    std::string findRoute(const std::string &method, const std::string &path) const
    {
        const CatalogueMessages::Route *best = nullptr;
        for (const auto &[name, route] : this->routes) {
            const std::string &prefix = route.path_prefix();
            const bool matches = prefix == "/" || path == prefix || path.rfind(prefix + "/", 0) == 0;
            const bool acceptsMethod = route.methods().empty() || std::count(route.methods().begin(), route.methods().end(), method) > 0;
            if (matches && acceptsMethod && (best == nullptr || prefix.size() > best->path_prefix().size())) {
                best = &route;
            }
        }
        return best == nullptr ? "" : best->name();
    }

    std::string findKey(const std::string &hash) const
    {
        const auto position = std::find_if(this->keys.begin(), this->keys.end(), [&hash](const auto &entry) { return entry.second.hash() == hash; });
        return position == this->keys.end() ? "" : position->first;
    }

    CatalogueMessages::Snapshot snapshot() const
    {
        CatalogueMessages::Snapshot snapshot;
        for (const auto &[name, entry] : this->services) {
            *snapshot.add_services() = entry;
        }
        for (const auto &[name, entry] : this->routes) {
            *snapshot.add_routes() = entry;
        }
        for (const auto &[name, entry] : this->teams) {
            *snapshot.add_teams() = entry;
        }
        for (const auto &[name, entry] : this->keys) {
            *snapshot.add_keys() = entry;
        }
        return snapshot;
    }

private:
    bool isUsed(const std::string &service, const std::string &team) const
    {
        return std::any_of(this->routes.begin(), this->routes.end(), [&](const auto &entry) {
            return entry.second.service() == service || std::count(entry.second.teams().begin(), entry.second.teams().end(), team) > 0;
        }) || std::any_of(this->keys.begin(), this->keys.end(), [&](const auto &entry) { return entry.second.team() == team; });
    }

    bool putRoute(const CatalogueMessages::Route &route)
    {
        const bool allTeamsExist
            = std::all_of(route.teams().begin(), route.teams().end(), [this](const std::string &team) { return this->teams.contains(team); });
        for (const auto &[name, other] : this->routes) {
            const bool haveCommonMethod = route.methods().empty() || other.methods().empty()
                || std::any_of(route.methods().begin(), route.methods().end(), [&other = other](const std::string &method) {
                       return std::count(other.methods().begin(), other.methods().end(), method) > 0;
                   });
            if (name != route.name() && other.path_prefix() == route.path_prefix() && haveCommonMethod) {
                return false;
            }
        }
        if (!allTeamsExist || !this->services.contains(route.service())) {
            return false;
        }
        this->routes[route.name()] = route;
        return true;
    }

    bool putKey(const CatalogueMessages::Key &key)
    {
        const std::string existingId = this->findKey(key.hash());
        if (!this->teams.contains(key.team()) || (!existingId.empty() && existingId != key.id())) {
            return false;
        }
        this->keys[key.id()] = key;
        return true;
    }

    std::map<std::string, CatalogueMessages::Service> services;
    std::map<std::string, CatalogueMessages::Route> routes;
    std::map<std::string, CatalogueMessages::Team> teams;
    std::map<std::string, CatalogueMessages::Key> keys;
};

std::string randomPath(Random &random)
{
    std::string path;
    for (std::uint64_t length = random() % 4; length > 0; --length) {
        path += std::string("/") + static_cast<char>('a' + random() % 3);
    }
    return path.empty() ? "/" : path;
}

void fillRoute(Random &random, CatalogueMessages::Route &route)
{
    route.set_name(randomName(random, "route", 60));
    route.set_owner("owner");
    route.set_path_prefix(randomPath(random));
    route.set_service(randomName(random, "service", 12));
    route.set_route_class(CatalogueMessages::ROUTE_CLASS_IDEMPOTENT);
    if (random() % 3 != 0) {
        route.add_methods(random() % 2 == 0 ? "GET" : "POST");
    }
    if (random() % 3 == 0) {
        route.add_teams(randomName(random, "team", 80));
    }
}

Change randomChange(Random &random)
{
    Change change;
    switch (random() % 10) {
    case 0:
        change.mutable_put_service()->set_name(randomName(random, "service", 12));
        change.mutable_put_service()->set_owner("owner");
        break;
    case 1:
        change.set_remove_service(randomName(random, "service", 12));
        break;
    case 2:
    case 3:
        fillRoute(random, *change.mutable_put_route());
        break;
    case 4:
        change.set_remove_route(randomName(random, "route", 60));
        break;
    case 5:
        change.mutable_put_team()->set_name(randomName(random, "team", 80));
        change.mutable_put_team()->set_owner("owner");
        change.mutable_put_team()->set_rate(static_cast<double>(random() % 100));
        change.mutable_put_team()->set_burst(1);
        change.mutable_put_team()->set_weight(1);
        break;
    case 6:
        change.set_remove_team(randomName(random, "team", 80));
        break;
    case 7:
    case 8:
        change.mutable_put_key()->set_id(randomName(random, "key", 90));
        change.mutable_put_key()->set_team(randomName(random, "team", 80));
        change.mutable_put_key()->set_hash(std::string(32, static_cast<char>(random() % 120)));
        break;
    default:
        change.set_withdraw_key(randomName(random, "key", 90));
    }
    return change;
}

/// The catalogue after the change, or null if the change is rejected.
std::shared_ptr<const Catalogue> tryApply(const Catalogue &catalogue, const Change &change)
{
    return boost::leaf::try_handle_all([&]() { return catalogue.applied(change); }, []() { return std::shared_ptr<const Catalogue>(); });
}

std::string nameOrEmpty(const std::shared_ptr<const CatalogueMessages::Route> &route)
{
    return route == nullptr ? "" : route->name();
}

/// Compares the entries but not the versions, as the naive catalogue has none.
bool haveEqualEntries(CatalogueMessages::Snapshot left, CatalogueMessages::Snapshot right)
{
    left.set_version(0);
    right.set_version(0);
    return left.SerializeAsString() == right.SerializeAsString();
}

std::string invalidFieldOf(const Catalogue &catalogue, const Change &change)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(catalogue.applied(change));
            return std::string();
        },
        [](const InvalidChange &error) { return error.field; },
        []() { return std::string("untyped"); });
}

} // namespace

// Guards against an index (path prefixes, key hashes, reference counts) that becomes inconsistent with the entries after some sequence of changes.
// Applies random changes to the catalogue and to a reference implementation and compares look-ups after each change and all entries at the end.
CATCH_TEST_CASE("The catalogue agrees with plain maps after random changes", "[catalogue][key-isolation]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CATCH_CAPTURE(seed);
        Random random(seed);
        NaiveCatalogue naive;
        std::shared_ptr<const Catalogue> catalogue = Catalogue::createEmpty();
        for (int step = 0; step < 1500; ++step) {
            const Change change = randomChange(random);
            const std::shared_ptr<const Catalogue> next = tryApply(*catalogue, change);
            CATCH_REQUIRE((next != nullptr) == naive.apply(change));
            if (next != nullptr) {
                CATCH_REQUIRE(next->version() == catalogue->version() + 1);
                catalogue = next;
            }
            const std::string path = randomPath(random) + (random() % 2 == 0 ? "" : "x");
            CATCH_REQUIRE(nameOrEmpty(catalogue->findRoute("GET", path)) == naive.findRoute("GET", path));
            KeyHash hash{};
            hash.fill(static_cast<std::uint8_t>(random() % 120));
            const std::shared_ptr<const CatalogueMessages::Key> key = catalogue->findKey(hash);
            CATCH_REQUIRE((key == nullptr ? "" : key->id()) == naive.findKey(std::string(hash.begin(), hash.end())));
        }
        CATCH_REQUIRE(haveEqualEntries(catalogue->snapshot(), naive.snapshot()));
    }
}

// Guards against a change that also modifies an older catalogue, because both share nodes of a table.
CATCH_TEST_CASE("A change leaves older catalogues unmodified", "[catalogue][config-in-force]")
{
    Random random(7);
    std::shared_ptr<const Catalogue> catalogue = Catalogue::createEmpty();
    std::vector<std::pair<std::shared_ptr<const Catalogue>, std::string>> history;
    for (int step = 0; step < 3000; ++step) {
        const std::shared_ptr<const Catalogue> next = tryApply(*catalogue, randomChange(random));
        catalogue = next == nullptr ? catalogue : next;
        if (step % 50 == 0) {
            history.emplace_back(catalogue, catalogue->snapshot().SerializeAsString());
        }
    }
    for (const auto &[older, bytes] : history) {
        CATCH_REQUIRE(older->snapshot().SerializeAsString() == bytes);
        const boost::leaf::result<std::shared_ptr<const Catalogue>> copy = Catalogue::create(older->snapshot());
        CATCH_REQUIRE(copy);
        CATCH_REQUIRE((*copy)->snapshot().SerializeAsString() == bytes);
    }
}

// Guards against accepting entries that no request can use, or path prefixes that match unintended paths.
CATCH_TEST_CASE("Invalid changes are rejected with the name of the invalid field", "[catalogue]")
{
    const std::shared_ptr<const Catalogue> catalogue = Catalogue::createEmpty();
    CATCH_REQUIRE(invalidFieldOf(*catalogue, Change()) == "change");
    Change team;
    team.mutable_put_team()->set_name("team");
    team.mutable_put_team()->set_owner("owner");
    CATCH_REQUIRE(invalidFieldOf(*catalogue, team) == "team.burst");
    team.mutable_put_team()->set_rate(std::numeric_limits<double>::quiet_NaN());
    CATCH_REQUIRE(invalidFieldOf(*catalogue, team) == "team.rate");
    for (const char *prefix : {"", "orders", "/orders/", "//orders", "/a/../b", "/%6f", "/a?b", "/a b"}) {
        CATCH_CAPTURE(prefix);
        Change route;
        route.mutable_put_route()->set_name("route");
        route.mutable_put_route()->set_owner("owner");
        route.mutable_put_route()->set_path_prefix(prefix);
        CATCH_REQUIRE(invalidFieldOf(*catalogue, route) == "route.path_prefix");
    }
    Change member;
    member.mutable_admit_member()->set_id("vm");
    for (const char *address : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:7x", ":80"}) {
        CATCH_CAPTURE(address);
        member.mutable_admit_member()->set_fleet_address(address);
        CATCH_REQUIRE(invalidFieldOf(*catalogue, member) == "member.fleet_address");
    }
}
