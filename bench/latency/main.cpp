// Times a direct call to an upstream against one through the caller endpoint and the request path, all on loopback in one process.

#include "answeringserver.h"
#include "openparts.h"
#include "plainsocket.h"

#include "connection/upstreamclient.h"
#include "process/cataloguestore.h"
#include "process/keyhash.h"
#include "process/proxy/callerendpoint.h"
#include "process/proxy/cataloguesnapshot.h"
#include "process/telemetry/requestmetrics.h"
#include "request/retrybudget.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace Hyssophall;
using namespace HyssophallBench;

constexpr std::size_t requestsInAll = 40000;
const std::string benchKey = "bench-key";

struct Measurement {
    std::vector<double> microseconds;
    double wallSeconds = 0;
    double processorSeconds = 0;
    std::size_t failures = 0;

    double quantile(double part) const
    {
        return this->microseconds.at(static_cast<std::size_t>(part * static_cast<double>(this->microseconds.size() - 1)));
    }
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

std::vector<double> call(std::uint16_t port, std::size_t requests)
{
    const std::string request = "GET /bench HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer " + benchKey + "\r\n\r\n";
    PlainSocket socket(PlainSocket::connectTo(port));
    std::vector<double> durations;
    std::string answer;
    for (std::size_t count = 0; count < requests; ++count) {
        const SteadyTime began = std::chrono::steady_clock::now();
        if (!socket.write(request) || !socket.readMessage(answer) || answer.compare(0, 12, "HTTP/1.1 200") != 0) {
            break;
        }
        durations.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count());
    }
    return durations;
}

Measurement measure(std::uint16_t port, std::size_t connections)
{
    const std::size_t each = requestsInAll / connections;
    std::vector<std::vector<double>> durations(connections);
    std::vector<std::thread> threads;
    const double processorBegan = processorSeconds();
    const SteadyTime began = std::chrono::steady_clock::now();
    for (std::vector<double> &own : durations) {
        threads.emplace_back([&own, port, each] { own = call(port, each); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    Measurement result;
    result.wallSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    result.processorSeconds = processorSeconds() - processorBegan;
    for (const std::vector<double> &own : durations) {
        result.microseconds.insert(result.microseconds.end(), own.begin(), own.end());
    }
    result.failures = each * connections - result.microseconds.size();
    std::sort(result.microseconds.begin(), result.microseconds.end());
    return result;
}

nlohmann::json compared(std::size_t connections, const Measurement &direct, const Measurement &proxied)
{
    // Callers and upstream take the same time in both runs; the rest is the proxy's own.
    const double ownSeconds = proxied.processorSeconds / static_cast<double>(proxied.microseconds.size())
        - direct.processorSeconds / static_cast<double>(direct.microseconds.size());
    return {{"connections", connections},
        {"requests", proxied.microseconds.size()},
        {"failures", direct.failures + proxied.failures},
        {"direct_p50_us", direct.quantile(0.5)},
        {"direct_p99_us", direct.quantile(0.99)},
        {"proxy_p50_us", proxied.quantile(0.5)},
        {"proxy_p99_us", proxied.quantile(0.99)},
        {"added_p50_us", proxied.quantile(0.5) - direct.quantile(0.5)},
        {"added_p99_us", proxied.quantile(0.99) - direct.quantile(0.99)},
        {"proxy_requests_per_second", static_cast<double>(proxied.microseconds.size()) / proxied.wallSeconds},
        {"proxy_requests_per_second_per_core", 1.0 / ownSeconds}};
}

boost::leaf::result<std::shared_ptr<const Catalogue>> benchCatalogue()
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_version(1);
    CatalogueMessages::Service &service = *snapshot.add_services();
    service.set_name("bench");
    service.set_owner("bench");
    CatalogueMessages::Team &team = *snapshot.add_teams();
    team.set_name("bench");
    team.set_owner("bench");
    team.set_rate(1e6);
    team.set_burst(1e6);
    team.set_weight(1);
    CatalogueMessages::Route &route = *snapshot.add_routes();
    route.set_name("bench");
    route.set_owner("bench");
    route.set_path_prefix("/bench");
    route.set_service("bench");
    route.set_route_class(CatalogueMessages::ROUTE_CLASS_IDEMPOTENT);
    CatalogueMessages::Key &key = *snapshot.add_keys();
    key.set_id("bench");
    key.set_team("bench");
    key.set_hash(hashBytes(hashKey(benchKey)));
    return Catalogue::create(snapshot);
}

boost::leaf::result<int> run()
{
    BOOST_LEAF_AUTO(catalogue, benchCatalogue());
    AnsweringServer upstream;
    OpenLease lease;
    OpenLimiter limiter;
    OpenClaims claims;
    OpenCapacity capacity;
    OneInstance health(upstream.port());
    // All load goes to one instance here.
    UpstreamClient client({.maximumIdle = 64});
    RequestMetrics metrics;
    RetryBudget retries;
    const RandomSource random = [] {
        thread_local std::mt19937_64 generator(1);
        return generator();
    };
    RequestHandler path({[&catalogue] { return std::make_shared<CatalogueSnapshot>(catalogue); },
                            lease,
                            limiter,
                            claims,
                            capacity,
                            health,
                            client,
                            retries,
                            std::chrono::steady_clock::now,
                            random,
                            {&metrics}},
        {});
    CallerEndpoint::Options options;
    options.endpoint = {"127.0.0.1", 0};
    BOOST_LEAF_AUTO(endpoint, CallerEndpoint::create(options, [&path](const CallerRequest &request) { return path.handle(request); }));
    nlohmann::json results = nlohmann::json::array();
    for (const std::size_t connections : {1, 16, 64}) {
        const Measurement direct = measure(upstream.port(), connections);
        results.push_back(compared(connections, direct, measure(endpoint->port(), connections)));
    }
    std::cout << nlohmann::json{{"bench", "latency"}, {"results", results}}.dump(2) << std::endl;
    return 0;
}

int reportEndpoint(const EndpointFailure &failure)
{
    std::cerr << failure.endpoint.address() << " can't be opened" << std::endl;
    return 1;
}

int reportChange(const InvalidChange &change)
{
    std::cerr << change.field << ": expected " << change.expected << std::endl;
    return 1;
}

int reportUnknown()
{
    std::cerr << "The bench can't start" << std::endl;
    return 1;
}

} // namespace

int main()
{
    return boost::leaf::try_handle_all(run, reportEndpoint, reportChange, reportUnknown);
}
