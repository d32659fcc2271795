#include "process/control/controlgroup.h"
#include "unit/process/control/simulatedgroup.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <arpa/inet.h>
#include <atomic>
#include <filesystem>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

using namespace Hyssophall;

namespace {

constexpr std::chrono::seconds longWait{20};

SteadyTime soon()
{
    return std::chrono::steady_clock::now() + longWait;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

unsigned short freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bind(descriptor, reinterpret_cast<sockaddr *>(&address), length);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    close(descriptor);
    return ntohs(address.sin_port);
}

/// Accepts connections and never replies, like a VM that is partitioned from the network.
int listenWithoutReplying(unsigned short port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int reuse = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CATCH_REQUIRE(bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    CATCH_REQUIRE(listen(descriptor, 16) == 0);
    return descriptor;
}

/// A control VM with a real server and disk on loopback.
struct ControlVm {
    explicit ControlVm(const std::string &id)
    {
        this->settings.vm.id = id;
        this->settings.vm.dataFolder = (std::filesystem::temp_directory_path() / ("hyssophall-controlgroup-test-" + std::to_string(getpid()) + id)).string();
        this->settings.fleet.secret = "a secret of the test fleet";
        this->settings.listen.fleet = Endpoint{"127.0.0.1", freePort()};
        std::filesystem::remove_all(this->settings.vm.dataFolder);
        this->start();
    }

    ~ControlVm()
    {
        this->stop();
        std::filesystem::remove_all(this->settings.vm.dataFolder);
    }

    void start()
    {
        this->catalogue = NaiveCatalogue();
        this->group = std::move(ControlGroup::create(this->settings, this->catalogue, {[this] { return this->rosterApplied.load(); }, randomNumber}).value());
        grpc::ServerBuilder builder;
        builder.AddListeningPort(this->address(), grpc::InsecureServerCredentials());
        builder.RegisterService(&this->group->service());
        this->server = builder.BuildAndStart();
    }

    void stop()
    {
        if (this->server) {
            this->server->Shutdown(std::chrono::system_clock::now());
            this->server.reset();
            this->group.reset();
        }
    }

    std::uint64_t catalogueVersion() const
    {
        return this->group->status(soon()).value().catalogue_version();
    }

    std::string address() const
    {
        return this->settings.listen.fleet.host + ":" + std::to_string(this->settings.listen.fleet.port);
    }

    Settings settings;
    NaiveCatalogue catalogue;
    std::atomic<bool> rosterApplied{true};
    std::unique_ptr<ControlGroup> group;
    std::unique_ptr<grpc::Server> server;
};

ControlMessages::CatalogueChange change(const std::string &id, std::uint64_t expectedVersion)
{
    ControlMessages::CatalogueChange change;
    change.set_change_id(id);
    change.set_expected_version(expectedVersion);
    change.mutable_change()->mutable_put_team()->set_name(id);
    return change;
}

} // namespace

CATCH_TEST_CASE("Three control VMs over gRPC decide changes from any VM, and survive the loss of one", "[control-log][config-in-force]")
{
    // Guards against faults in threads, gRPC calls and file access, which the simulated group doesn't use.
    std::vector<std::unique_ptr<ControlVm>> vms;
    Settings entry;
    for (const char *id : {"a", "b", "c"}) {
        vms.push_back(std::make_unique<ControlVm>(id));
        entry.control.replicas.push_back(vms.back()->address());
    }
    entry.fleet.secret = vms[0]->settings.fleet.secret;
    CATCH_REQUIRE(vms[0]->group->bootstrap(entry.control.replicas, soon()));
    CATCH_REQUIRE_FALSE(vms[1]->group->bootstrap(entry.control.replicas, soon()));

    const std::unique_ptr<RemoteChangeProposer> remote = RemoteChangeProposer::create(entry);
    CATCH_REQUIRE(remote->propose(change("one", 0), soon()).value().version() == 1);
    CATCH_REQUIRE(vms[2]->group->propose(change("two", 1), soon()).value().version() == 2);
    CATCH_REQUIRE(vms[1]->group->propose(change("late", 1), soon()).value().result() == ControlMessages::ChangeOutcome::RESULT_CONFLICT);

    vms[0]->stop();
    CATCH_REQUIRE(remote->propose(change("three", 2), soon()).value().version() == 3);
    CATCH_REQUIRE(remote->propose(change("one", 0), soon()).value().version() == 1);
    vms[0]->start();
    while (vms[0]->group->status(soon())->role() == "recovering") {
        // Until all other replicas have replied, a restarted replica votes only after a grace period of several seconds.
        std::this_thread::yield();
    }
    vms[1]->stop();
    // Connections to the stopped VM are accepted but never answered. This must delay neither the other peer nor the proposer.
    const int silentListener = listenWithoutReplying(vms[1]->settings.listen.fleet.port);
    CATCH_REQUIRE(remote->propose(change("four", 3), soon()).value().version() == 4);
    close(silentListener);
}

CATCH_TEST_CASE("A replica whose disk failed is counted again once it is reopened", "[control-log][config-in-force]")
{
    // Guards against a control VM that takes part again after a disk failure only once its process is restarted.
    std::vector<std::unique_ptr<ControlVm>> vms;
    std::vector<std::string> addresses;
    for (const char *id : {"a", "b", "c"}) {
        vms.push_back(std::make_unique<ControlVm>(id));
        addresses.push_back(vms.back()->address());
    }
    CATCH_REQUIRE(vms[0]->group->bootstrap(addresses, soon()));
    CATCH_REQUIRE(vms[0]->group->propose(change("one", 0), soon()).value().version() == 1);
    CATCH_REQUIRE(vms[1]->group->reopen());

    // Each change writes the file state.new. A folder of this name makes the writes fail.
    const std::filesystem::path blocked = std::filesystem::path(vms[1]->settings.vm.dataFolder) / "control" / "state.new";
    std::filesystem::create_directory(blocked);
    CATCH_REQUIRE(vms[0]->group->propose(change("two", 1), soon()).value().version() == 2);
    const SteadyTime limit = soon();
    while (vms[1]->group->status(soon())->role() != "halted" && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CATCH_REQUIRE(vms[1]->group->status(soon())->role() == "halted");
    std::filesystem::remove(blocked);
    CATCH_REQUIRE(vms[1]->group->reopen());
    // Without the third VM, a change needs the replica that was halted.
    vms[2]->stop();
    CATCH_REQUIRE(vms[0]->group->propose(change("three", 2), soon()).value().version() == 3);
    while (vms[1]->catalogueVersion() != 3 && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CATCH_REQUIRE(vms[1]->catalogueVersion() == 3);
}

CATCH_TEST_CASE("A roster change is refused until the previous one is in force everywhere", "[control-log]")
{
    // Guards against two quorums of a committee without a common member. They can arise when VMs use rosters that are two changes apart.
    ControlVm vm("a");
    CATCH_REQUIRE(vm.group->bootstrap({vm.address()}, soon()));
    ControlMessages::CatalogueChange admission = change("admit", 0);
    admission.mutable_change()->mutable_admit_member()->set_id("vm-9");
    vm.rosterApplied = false;
    CATCH_REQUIRE(vm.group->propose(admission, soon()).value().result() == ControlMessages::ChangeOutcome::RESULT_ROSTER_UNSETTLED);
    vm.rosterApplied = true;
    // NaiveCatalogue rejects member changes as invalid, so this result shows that the change was applied.
    CATCH_REQUIRE(vm.group->propose(admission, soon()).value().result() == ControlMessages::ChangeOutcome::RESULT_INVALID);
}

CATCH_TEST_CASE("Calls without the fleet's secret are refused", "[control-log]")
{
    // Guards against a client without the fleet's secret that votes or changes the catalogue.
    ControlVm vm("a");
    ControlClient unauthenticated(vm.address(), "another secret of a fleet");
    CATCH_REQUIRE_FALSE(unauthenticated.call(ControlMessages::VoteRequest(), longWait).has_value());
    CATCH_REQUIRE_FALSE(unauthenticated.status(longWait).has_value());
    CATCH_REQUIRE_FALSE(unauthenticated.propose(ControlMessages::ProposeRequest(), longWait));
    ControlClient member(vm.address(), vm.settings.fleet.secret);
    CATCH_REQUIRE(member.status(longWait)->id() == "a");
}
