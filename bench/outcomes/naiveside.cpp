#include "side.h"

#include "catalogue.pb.h"
#include "harness/ports.h"
#include "process/keyhash.h"

#include <boost/leaf/handle_errors.hpp>

#include <fstream>

namespace HyssophallBench {

using namespace Hyssophall::Harness;
namespace CatalogueMessages = hyssophall::catalogue::v1;

namespace {

TestFleet::Options upstreamsAlone()
{
    TestFleet::Options options;
    options.programs = HYSSOPHALL_BINARIES;
    options.controlVms = 0;
    options.entryVms = 0;
    return options;
}

} // namespace

NaiveSide::NaiveSide(const Scenario &scenario, std::size_t vms, const std::vector<std::string> &keys)
    : Side(scenario, upstreamsAlone())
    , vms(vms)
    , keys(keys)
{
}

bool NaiveSide::start()
{
    this->startUpstreams();
    this->writeFiles();
    this->processes.resize(this->vms);
    for (std::size_t vm = 0; vm < this->vms; ++vm) {
        this->ports.push_back(findFreePort());
        this->restartVm(vm);
    }
    this->initialiseBalancer();
    return waitUntil(std::chrono::seconds(20), [this] {
        for (std::size_t vm = 0; vm < this->vms; ++vm) {
            if (!this->isVmReady(vm)) {
                return false;
            }
        }
        return true;
    });
}

void NaiveSide::writeFiles()
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_version(1);
    for (const ServicePlan &plan : this->scenario.services) {
        CatalogueMessages::Service &service = *snapshot.add_services();
        service.set_name(plan.name);
        service.set_owner("bench");
        service.set_floor_per_mille(500);
        service.set_floor_count(1);
        CatalogueMessages::Route &route = *snapshot.add_routes();
        route.set_name(plan.name);
        route.set_owner("bench");
        route.set_path_prefix("/" + plan.name);
        route.set_service(plan.name);
        route.set_route_class(plan.idempotent ? CatalogueMessages::ROUTE_CLASS_IDEMPOTENT : CatalogueMessages::ROUTE_CLASS_NON_IDEMPOTENT);
    }
    for (std::size_t index = 0; index < this->scenario.teams.size(); ++index) {
        const TeamPlan &plan = this->scenario.teams[index];
        CatalogueMessages::Team &team = *snapshot.add_teams();
        team.set_name(plan.name);
        team.set_owner("bench");
        team.set_rate(plan.rate);
        team.set_burst(plan.burst);
        team.set_weight(1);
        CatalogueMessages::Key &key = *snapshot.add_keys();
        key.set_id(plan.name + "-key");
        key.set_team(plan.name);
        key.set_hash(Hyssophall::hashBytes(Hyssophall::hashKey(this->keys[index])));
    }
    std::ofstream file(this->fleet.folder() + "/catalogue", std::ios::binary);
    snapshot.SerializeToOstream(&file);
    std::ofstream list(this->fleet.folder() + "/instances");
    for (const std::unique_ptr<TestFleet::Upstream> &upstream : this->fleet.upstreams()) {
        list << upstream->id.substr(0, upstream->id.find('-')) << " " << upstream->id << " " << upstream->port << "\n";
    }
}

std::string NaiveSide::callerUrl(std::size_t vm)
{
    return "http://127.0.0.1:" + std::to_string(this->ports[vm]);
}

std::size_t NaiveSide::vmCount()
{
    return this->vms;
}

void NaiveSide::killVm(std::size_t vm)
{
    this->processes[vm]->kill();
}

void NaiveSide::restartVm(std::size_t vm)
{
    const std::vector<std::string> arguments{"--port=" + std::to_string(this->ports[vm]),
        "--catalogue=" + this->fleet.folder() + "/catalogue",
        "--instances=" + this->fleet.folder() + "/instances",
        "--vms=" + std::to_string(this->vms)};
    const std::string output = this->fleet.folder() + "/naive-" + std::to_string(vm) + ".out";
    this->processes[vm]
        = boost::leaf::try_handle_all([&] { return ChildProcess::create(std::string(HYSSOPHALL_BINARIES) + "/bench-naiveproxy", arguments, output); },
            [] { return std::unique_ptr<ChildProcess>(); });
}

bool NaiveSide::isVmReady(std::size_t vm)
{
    return get(this->callerUrl(vm) + "/_naive/ejections").status == 200;
}

std::set<std::string> NaiveSide::ejectedAt(std::size_t vm, const std::string &service)
{
    const nlohmann::json body = nlohmann::json::parse(get(this->callerUrl(vm) + "/_naive/ejections").body, nullptr, false);
    std::set<std::string> ids;
    if (body.is_object()) {
        for (const std::string id : body["ejected"]) {
            if (id.starts_with(service + "-")) {
                ids.insert(id);
            }
        }
    }
    return ids;
}

bool NaiveSide::ejectsFleetWide() const
{
    return false;
}

} // namespace HyssophallBench
