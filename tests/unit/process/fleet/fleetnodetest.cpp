#include "process/fleet/fleetnode.h"
#include "process/fleet/fleetclient.h"
#include "process/fleet/fleetserver.h"
#include "simulatedcatalogue.h"

#include <catch2/catch.hpp>

#include <memory>
#include <mutex>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

const std::string secret = "a secret of the fleet";

/// A VM with server, client and threads on a port that the operating system chose. Its catalogue may be changed while it runs.
class RunningVm
{
public:
    RunningVm(const std::string &id, const std::vector<std::string> &seeds)
        : client(secret)
    {
        FleetHandlers handlers;
        handlers.exchange = [this](const FleetMessages::ExchangeMessage &message) { return this->hooks.exchange(message); };
        handlers.fetchCatalogue = [this](const FleetMessages::FetchCatalogueRequest &request) { return this->hooks.fetchCatalogue(request); };
        handlers.announce = [this](const FleetMessages::AnnounceRequest &request) { return this->hooks.announce(request); };
        this->server = FleetServer::create({"127.0.0.1:0", secret, {}}, handlers).value();
        this->address = "127.0.0.1:" + std::to_string(this->server->port());
        this->node = std::make_unique<FleetNode>(FleetNode::Options{{{id, this->address, 7}, seeds}, 20ms}, this->client, this->lockedSource());
        this->node->installHandlers(this->hooks);
    }

    ~RunningVm()
    {
        this->server->stop();
        this->client.stop();
        this->node->stop();
    }

    void install(const CatalogueMessages::Snapshot &snapshot)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->catalogue.source().replace(snapshot);
    }

    FleetHandlers hooks;
    std::string address;
    std::unique_ptr<FleetNode> node;

private:
    template<typename Action>
    auto withLock(const Action &action)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return action();
    }

    CatalogueSource lockedSource()
    {
        const CatalogueSource plain = this->catalogue.source();
        CatalogueSource locked;
        locked.version = [this, plain] { return this->withLock(plain.version); };
        locked.roster = [this, plain] { return this->withLock(plain.roster); };
        locked.snapshot = [this, plain] { return this->withLock(plain.snapshot); };
        locked.changesSince = [this, plain](std::uint64_t version) { return this->withLock([&plain, version] { return plain.changesSince(version); }); };
        locked.advance = [this, plain](const std::vector<CatalogueMessages::VersionedChange> &changes) {
            return this->withLock([&plain, &changes] { return plain.advance(changes); });
        };
        locked.replace
            = [this, plain](const CatalogueMessages::Snapshot &snapshot) { return this->withLock([&plain, &snapshot] { return plain.replace(snapshot); }); };
        return locked;
    }

    std::mutex mutex;
    SimulatedCatalogue catalogue;
    FleetClient client;
    std::unique_ptr<FleetServer> server;
};

bool waitFor(const std::function<bool()> &condition)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

} // namespace

// Guards against faults in the connection of threads, gRPC transport and gossip that tests of the single classes don't show,
// for instance a deadlock or use after destruction while VMs stop.
CATCH_TEST_CASE("VMs join over gRPC, share instances and stop while they exchange messages", "[fleet][transport]")
{
    RunningVm first("vm-a", {});
    RunningVm second("vm-b", {first.address});
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_version(3);
    snapshot.set_roster_version(2);
    for (const std::pair<std::string, RunningVm *> &vm : {std::pair<std::string, RunningVm *>("vm-a", &first), {"vm-b", &second}}) {
        CatalogueMessages::Member &member = *snapshot.add_members();
        member.set_id(vm.first);
        member.set_fleet_address(vm.second->address);
    }
    first.install(snapshot);
    first.node->start();
    second.node->start();
    CATCH_REQUIRE(waitFor([&] { return first.node->members().liveMembers().size() == 2 && second.node->members().liveMembers().size() == 2; }));
    FleetMessages::AnnounceRequest request;
    request.mutable_instance()->set_id("orders-1");
    request.mutable_instance()->set_service("orders");
    request.mutable_instance()->set_host("127.0.0.1");
    request.mutable_instance()->set_port(8080);
    request.mutable_instance()->set_incarnation(1);
    request.mutable_instance()->set_state(FleetMessages::INSTANCE_STATE_READY);
    CATCH_REQUIRE(second.node->announce(request, std::chrono::steady_clock::now() + 5s));
    CATCH_REQUIRE(waitFor([&] { return first.node->records().instances("orders")->size() == 1 && second.node->records().instances("orders")->size() == 1; }));
    second.node->leave();
    CATCH_REQUIRE(waitFor([&] { return first.node->members().liveMembers() == std::vector<std::string>{"vm-a"}; }));
}
