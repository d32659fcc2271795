#include "fleetfixture.h"
#include "harness/ports.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Tests::FleetFixture;

namespace {

const std::string shortDrain = "[shutdown]\ndrain_notice_ms = 0\ndrain_limit_ms = 2000\n";

/// Callers that send reads and orders to one VM without pause, while it is there or not.
class Load
{
public:
    Load(FleetFixture &fixture, std::size_t vm)
    {
        for (int caller = 0; caller < 6; ++caller) {
            this->threads.emplace_back([this, &fixture, vm, caller] {
                for (int number = 0; !this->stopping; ++number) {
                    const std::string key = std::to_string(caller) + "-" + std::to_string(number);
                    if (caller % 2 == 0) {
                        fixture.fleet.call(vm, "GET", "/reads/x", fixture.redKey);
                    } else {
                        fixture.fleet.call(vm, "POST", "/orders/x", fixture.redKey, "order", {{"Idempotency-Key", key}});
                    }
                    Harness::get("http://" + fixture.fleet.vms()[vm].administrationAddress + "/metrics");
                }
            });
        }
    }

    ~Load()
    {
        this->stopping = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

private:
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

std::string outputOf(const FleetFixture &fixture, const Harness::TestFleet::Vm &vm)
{
    std::ostringstream text;
    text << std::ifstream(fixture.fleet.folder() + "/" + vm.id + ".out").rdbuf();
    return text.str();
}

bool waitUntilServing(const Harness::TestFleet::Vm &vm)
{
    return Harness::waitUntil(20s, [&vm] { return Harness::get("http://" + vm.administrationAddress + "/healthz").status == 200; });
}

/// Runs one daemon until it ends by itself.
std::optional<int> exitOf(Harness::TestFleet &fleet, std::size_t vm)
{
    CATCH_REQUIRE(fleet.startVm(vm));
    return fleet.vms()[vm].process->waitForExit(20s);
}

} // namespace

// Guards against objects that are used after their end while requests, gossip and announcements still arrive.
CATCH_TEST_CASE("VMs stop and start under load again and again with exit status 0", "[integration][graceful-shutdown][restart]")
{
    FleetFixture fixture(1, shortDrain);
    fixture.start();
    for (const std::size_t index : {std::size_t(0), fixture.fleet.vms().size() - 1}) {
        Harness::TestFleet::Vm &vm = fixture.fleet.vms()[index];
        const Load load(fixture, index);
        for (int round = 0; round < 6; ++round) {
            // From in the middle of the start, when the administration port is open and the caller port isn't, to a VM that serves.
            // Before main() runs, SIGTERM ends any program by the signal.
            CATCH_REQUIRE(waitUntilServing(vm));
            std::this_thread::sleep_for(std::chrono::milliseconds(100 * round));
            vm.process->terminate();
            const std::optional<int> status = vm.process->waitForExit(30s);
            CATCH_INFO(vm.id << " round " << round << ": " << status.value_or(-1000) << "\n" << outputOf(fixture, vm));
            CATCH_REQUIRE(status == 0);
            CATCH_REQUIRE(fixture.fleet.startVm(index));
        }
    }
    for (Harness::TestFleet::Vm &vm : fixture.fleet.vms()) {
        CATCH_REQUIRE(waitUntilServing(vm));
        vm.process->terminate();
    }
    for (Harness::TestFleet::Vm &vm : fixture.fleet.vms()) {
        const std::optional<int> status = vm.process->waitForExit(30s);
        CATCH_INFO(vm.id << "\n" << outputOf(fixture, vm));
        CATCH_REQUIRE(status == 0);
    }
}

// Guards against a daemon that crashes, hangs or says nothing where it can't start.
CATCH_TEST_CASE("A daemon without its ports, data folder or control group ends or serves as it can", "[integration][restart]")
{
    Harness::TestFleet::Options options;
    options.programs = HYSSOPHALL_BINARIES;
    options.controlVms = 1;
    options.entryVms = 1;
    options.extraSettings = shortDrain;
    Harness::TestFleet fleet(options);
    const Harness::TestFleet::Vm &control = fleet.vms()[0];
    const Harness::TestFleet::Vm &entry = fleet.vms()[1];

    // The control group can't be reached: the VM answers and stops.
    CATCH_REQUIRE(fleet.startVm(1));
    CATCH_REQUIRE(Harness::waitUntil(20s, [&entry] { return Harness::get("http://" + entry.administrationAddress + "/healthz").status == 200; }));
    CATCH_REQUIRE(fleet.call(1, "GET", "/reads/x", "key").header("hyssophall-outcome") == "not-run");
    entry.process->terminate();
    CATCH_REQUIRE(entry.process->waitForExit(20s) == 0);

    // Each port is taken in turn by another daemon with the settings of this one.
    CATCH_REQUIRE(fleet.startVm(1));
    CATCH_REQUIRE(Harness::waitUntil(20s, [&entry] { return Harness::get("http://" + entry.administrationAddress + "/healthz").status == 200; }));
    const std::string original = (std::stringstream() << std::ifstream(control.settingsFile).rdbuf()).str();
    for (const std::pair<std::string, std::string> &ports : {std::pair{control.callerAddress, entry.callerAddress},
             std::pair{control.administrationAddress, entry.administrationAddress},
             std::pair{control.fleetAddress, entry.fleetAddress}}) {
        std::string changed = original;
        changed.replace(changed.find(" = " + ports.first) + 3, ports.first.size(), ports.second);
        std::ofstream(control.settingsFile, std::ios::trunc) << changed;
        CATCH_INFO(ports.second);
        CATCH_REQUIRE(exitOf(fleet, 0) == 1);
    }
    std::ofstream(control.settingsFile, std::ios::trunc) << original;

    // A VM whose control log is damaged serves without its replica and leaves the files as they are; one without its folder makes it anew.
    std::filesystem::path state;
    for (const std::filesystem::directory_entry &file : std::filesystem::recursive_directory_iterator(control.dataFolder)) {
        state = file.path().filename() == "state" ? file.path() : state;
    }
    CATCH_REQUIRE_FALSE(state.empty());
    std::ofstream(state, std::ios::trunc) << "damaged";
    CATCH_REQUIRE(fleet.startVm(0));
    CATCH_REQUIRE(Harness::waitUntil(20s, [&control] { return Harness::get("http://" + control.administrationAddress + "/healthz").status == 200; }));
    CATCH_REQUIRE(fleet.command({"control", "bootstrap"}).exitCode != 0);
    CATCH_REQUIRE(fleet.command({"change", "put-team", "name=red", "owner=o", "rate=1", "burst=1", "weight=1"}).exitCode != 0);
    control.process->terminate();
    CATCH_REQUIRE(control.process->waitForExit(20s) == 0);
    CATCH_REQUIRE((std::stringstream() << std::ifstream(state).rdbuf()).str() == "damaged");
    std::filesystem::remove_all(control.dataFolder);
    CATCH_REQUIRE(fleet.startVm(0));
    CATCH_REQUIRE(Harness::waitUntil(20s, [&control] { return Harness::get("http://" + control.administrationAddress + "/healthz").status == 200; }));
    control.process->terminate();
    CATCH_REQUIRE(control.process->waitForExit(20s) == 0);
}
