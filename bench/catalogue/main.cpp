#include "process/keyhash.h"
#include "version/catalogue.h"

#include <boost/leaf/handle_errors.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string>
#include <utility>
#include <vector>

using namespace Hyssophall;
using CatalogueMessages::Change;

namespace {

using Clock = std::chrono::steady_clock;

struct Size {
    int teams;
    int routes;
    int services;
};

std::string numbered(const char *kind, int number)
{
    return kind + std::to_string(number);
}

/// Distinct for each number; real hashes are as uniform.
std::string hashOf(int number)
{
    return hashBytes(hashKey(numbered("key", number)));
}

CatalogueMessages::Team createTeam(int number, double rate)
{
    CatalogueMessages::Team team;
    team.set_name(numbered("team-", number));
    team.set_owner("owner");
    team.set_rate(rate);
    team.set_burst(10);
    team.set_weight(1);
    return team;
}

CatalogueMessages::Route createRoute(int number, int services)
{
    CatalogueMessages::Route route;
    route.set_name(numbered("route-", number));
    route.set_owner("owner");
    route.set_path_prefix(numbered("/service/", number % services) + numbered("/path/", number));
    route.set_service(numbered("service-", number % services));
    route.set_route_class(CatalogueMessages::ROUTE_CLASS_IDEMPOTENT);
    return route;
}

CatalogueMessages::Key createKey(int number, int version)
{
    CatalogueMessages::Key key;
    key.set_id(numbered("key-", number));
    key.set_team(numbered("team-", number));
    key.set_hash(hashOf(version));
    return key;
}

CatalogueMessages::Snapshot createSnapshot(const Size &size)
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_version(1);
    for (int number = 0; number < size.services; ++number) {
        snapshot.add_services()->set_name(numbered("service-", number));
        snapshot.mutable_services(number)->set_owner("owner");
    }
    for (int number = 0; number < size.routes; ++number) {
        *snapshot.add_routes() = createRoute(number, size.services);
    }
    for (int number = 0; number < size.teams; ++number) {
        *snapshot.add_teams() = createTeam(number, 10);
        *snapshot.add_keys() = createKey(number, number);
    }
    return snapshot;
}

std::shared_ptr<const Catalogue> require(boost::leaf::result<std::shared_ptr<const Catalogue>> result)
{
    if (!result) {
        std::fprintf(stderr, "a change of the bench was refused\n");
        std::exit(1);
    }
    return *result;
}

std::shared_ptr<const Catalogue> load(const CatalogueMessages::Snapshot &snapshot)
{
    return boost::leaf::try_handle_all([&]() -> boost::leaf::result<std::shared_ptr<const Catalogue>> { return require(Catalogue::create(snapshot)); },
        []() { return std::shared_ptr<const Catalogue>(); });
}

double microseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

std::size_t usedBytes()
{
    const struct mallinfo2 information = mallinfo2();
    return information.uordblks + information.hblkhd;
}

/// Applies each change to the catalogue before; keeps only the newest.
double timeChanges(std::shared_ptr<const Catalogue> catalogue, const std::vector<Change> &changes)
{
    const Clock::time_point start = Clock::now();
    for (const Change &change : changes) {
        catalogue = require(catalogue->applied(change));
    }
    return microseconds(Clock::now() - start) / static_cast<double>(changes.size());
}

std::vector<Change> teamChanges(const Size &size, int count)
{
    std::vector<Change> changes(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        *changes[static_cast<std::size_t>(index)].mutable_put_team() = createTeam(index * 7919 % size.teams, 20);
    }
    return changes;
}

std::vector<Change> routeChanges(const Size &size, int count)
{
    std::vector<Change> changes(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        *changes[static_cast<std::size_t>(index)].mutable_put_route() = createRoute(index * 7919 % size.routes, size.services);
    }
    return changes;
}

std::vector<Change> keyChanges(const Size &size, int count)
{
    std::vector<Change> changes(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        *changes[static_cast<std::size_t>(index)].mutable_put_key() = createKey(index * 7919 % size.teams, size.teams + index);
    }
    return changes;
}

double timeLookups(const Catalogue &catalogue, const Size &size, int count)
{
    std::vector<std::string> paths;
    std::vector<KeyHash> hashes;
    for (int index = 0; index < count; ++index) {
        paths.push_back(createRoute(index * 7919 % size.routes, size.services).path_prefix() + "/item/5");
        hashes.push_back(hashKey(numbered("key", index * 7919 % size.teams)));
    }
    std::size_t found = 0;
    const Clock::time_point start = Clock::now();
    for (std::size_t index = 0; index < paths.size(); ++index) {
        found += catalogue.findRoute("GET", paths[index]) != nullptr && catalogue.findKey(hashes[index]) != nullptr ? 1 : 0;
    }
    const double each = microseconds(Clock::now() - start) / count;
    if (found != paths.size()) {
        std::fprintf(stderr, "%zu lookups failed\n", paths.size() - found);
        std::exit(1);
    }
    return each;
}

/// Time to make and serialize a snapshot, as for the copy on disk.
double timeSnapshot(const Catalogue &catalogue)
{
    const Clock::time_point start = Clock::now();
    const std::string bytes = catalogue.snapshot().SerializeAsString();
    return bytes.empty() ? 0 : microseconds(Clock::now() - start) / 1000;
}

/// Bytes of a part of the catalogue, measured as what the heap grows by when that part alone is loaded.
std::size_t loadedBytes(const CatalogueMessages::Snapshot &snapshot)
{
    const std::size_t before = usedBytes();
    const std::shared_ptr<const Catalogue> catalogue = load(snapshot);
    return usedBytes() - before;
}

void measure(const Size &size)
{
    constexpr int changes = 5000;
    CatalogueMessages::Snapshot snapshot = createSnapshot(size);
    const Clock::time_point start = Clock::now();
    const std::shared_ptr<const Catalogue> catalogue = load(snapshot);
    const double loadTime = microseconds(Clock::now() - start) / 1000;
    const double team = timeChanges(catalogue, teamChanges(size, changes));
    const double route = timeChanges(catalogue, routeChanges(size, changes));
    const double key = timeChanges(catalogue, keyChanges(size, changes));
    const double lookup = timeLookups(*catalogue, size, 20000);
    const double snapshotTime = timeSnapshot(*catalogue);
    const std::size_t whole = loadedBytes(snapshot);
    snapshot.clear_routes();
    const std::size_t withoutRoutes = loadedBytes(snapshot);
    snapshot.clear_keys();
    const std::size_t withoutKeys = loadedBytes(snapshot);
    std::printf("%7d %7d %9.0f %11.0f %9.2f %9.2f %9.2f %10.2f %9zu %9zu %9zu %9.1f\n",
        size.teams,
        size.routes,
        loadTime,
        snapshotTime,
        team,
        route,
        key,
        lookup,
        withoutKeys / static_cast<std::size_t>(size.teams),
        (withoutRoutes - withoutKeys) / static_cast<std::size_t>(size.teams),
        (whole - withoutRoutes) / static_cast<std::size_t>(size.routes),
        static_cast<double>(whole) / 1e6);
}

} // namespace

/// Prints the time of one change and the memory per thousand entries (kB) at three sizes; the last is the target of docs/design.md.
int main()
{
    std::printf("%7s %7s %9s %11s %9s %9s %9s %10s %9s %9s %9s %9s\n",
        "teams",
        "routes",
        "load ms",
        "snapshot ms",
        "team us",
        "route us",
        "key us",
        "lookup us",
        "kB/kteam",
        "kB/kkey",
        "kB/kroute",
        "whole MB");
    for (const Size &size : {Size{8, 12, 3}, Size{24000, 1700, 200}, Size{240000, 17000, 2000}}) {
        measure(size);
    }
    return 0;
}
