// The baseline of bench-outcomes: the request path with fixed lists of instances and decisions that each VM takes for itself.

#include "../latency/openparts.h"
#include "dividedlimiter.h"
#include "localhealth.h"

#include "connection/upstreamclient.h"
#include "process/proxy/callerendpoint.h"
#include "process/proxy/cataloguesnapshot.h"
#include "process/proxy/requesthandler.h"
#include "request/retrybudget.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/leaf/handle_errors.hpp>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

ABSL_FLAG(std::uint16_t, port, 0, "port for callers");
ABSL_FLAG(std::string, catalogue, "", "file with the catalogue's snapshot as a serialised message");
ABSL_FLAG(std::string, instances, "", "file with one instance a line: service, id, port");
ABSL_FLAG(double, vms, 1, "VMs over which the teams' rates are divided");

namespace {

using namespace Hyssophall;
using HyssophallBench::DividedLimiter;
using HyssophallBench::LocalHealth;

std::uint64_t systemRandom()
{
    thread_local std::mt19937_64 generator{std::random_device()()};
    return generator();
}

LocalHealth::Services readInstances(const std::string &file)
{
    LocalHealth::Services services;
    std::ifstream stream(file);
    std::string service;
    std::string id;
    std::uint16_t port = 0;
    while (stream >> service >> id >> port) {
        HyssophallBench::FleetMessages::Instance instance;
        instance.set_service(service);
        instance.set_id(id);
        instance.set_host("127.0.0.1");
        instance.set_port(port);
        services[service].push_back(instance);
    }
    return services;
}

std::map<std::string, TeamLimit> limitsOf(const CatalogueMessages::Snapshot &snapshot)
{
    std::map<std::string, TeamLimit> limits;
    for (const CatalogueMessages::Team &team : snapshot.teams()) {
        limits[team.name()] = TeamLimit{team.rate(), team.burst()};
    }
    return limits;
}

CallerResponse ejectionsAnswer(const LocalHealth &health)
{
    CallerResponse answer;
    answer.http.status = 200;
    answer.http.body = nlohmann::json({{"ejected", health.ejected()}, {"counts", health.ejectionCounts()}}).dump();
    return answer;
}

boost::leaf::result<int> serve()
{
    CatalogueMessages::Snapshot snapshot;
    std::ifstream stream(absl::GetFlag(FLAGS_catalogue), std::ios::binary);
    snapshot.ParseFromIstream(&stream);
    BOOST_LEAF_AUTO(catalogue, Catalogue::create(snapshot));
    const std::shared_ptr<const CatalogueLookup> lookup = std::make_shared<CatalogueSnapshot>(catalogue);
    HyssophallBench::OpenLease lease;
    HyssophallBench::OpenClaims claims;
    HyssophallBench::OpenCapacity capacity;
    DividedLimiter limiter(limitsOf(snapshot), absl::GetFlag(FLAGS_vms));
    LocalHealth health(readInstances(absl::GetFlag(FLAGS_instances)), systemRandom());
    UpstreamClient client({});
    RetryBudget retries;
    RequestHandler path(
        {[lookup] { return lookup; }, lease, limiter, claims, capacity, health, client, retries, std::chrono::steady_clock::now, systemRandom, {}}, {});
    CallerEndpoint::Options options;
    options.endpoint = {"127.0.0.1", absl::GetFlag(FLAGS_port)};
    BOOST_LEAF_AUTO(endpoint, CallerEndpoint::create(options, [&path, &health](const CallerRequest &request) {
        return request.http.target == "/_naive/ejections" ? ejectionsAnswer(health) : path.handle(request);
    }));
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return boost::leaf::try_handle_all(serve, [] {
        std::fprintf(stderr, "the naive proxy can't start\n");
        return EXIT_FAILURE;
    });
}
