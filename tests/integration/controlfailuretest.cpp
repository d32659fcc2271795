#include "fleetfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <set>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Tests::FleetFixture;

namespace {

constexpr std::size_t controlVms = 3;

std::string statusText(FleetFixture &fixture, const std::string &name)
{
    const nlohmann::json status = nlohmann::json::parse(fixture.fleet.command({"--json", "control", "status"}).output, nullptr, false);
    return status.is_object() ? status.value(name, "") : std::string();
}

std::size_t leaderIndex(FleetFixture &fixture)
{
    const std::string leader = statusText(fixture, "leader");
    for (std::size_t index = 0; index < controlVms; ++index) {
        if (fixture.fleet.vms()[index].id == leader) {
            return index;
        }
    }
    return 0;
}

/// The teams that one VM has in force.
std::set<std::string> teamsOf(FleetFixture &fixture, std::size_t vm)
{
    const Harness::TestFleet::CommandResult result = fixture.fleet.commandTo(vm, {"--json", "catalogue"});
    const nlohmann::json body = nlohmann::json::parse(result.output, nullptr, false);
    std::set<std::string> names;
    if (body.is_object() && body.contains("teams")) {
        for (const nlohmann::json &team : body["teams"]) {
            names.insert(team.value("name", ""));
        }
    }
    return names;
}

std::uint64_t versionOf(FleetFixture &fixture, std::size_t vm)
{
    const nlohmann::json body = nlohmann::json::parse(fixture.fleet.commandTo(vm, {"--json", "version"}).output, nullptr, false);
    return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
}

bool holdsAll(const std::set<std::string> &held, const std::set<std::string> &wanted)
{
    return std::includes(held.begin(), held.end(), wanted.begin(), wanted.end());
}

/// The name when the change was answered as accepted, or nothing.
std::string putIfAccepted(FleetFixture &fixture, const std::string &name)
{
    return fixture.fleet.putTeam(name, 5, 5) ? name : std::string();
}

void loseDiskOf(FleetFixture &fixture, std::size_t index)
{
    const Harness::TestFleet::Vm &vm = fixture.fleet.vms()[index];
    vm.process->kill();
    std::filesystem::remove_all(vm.dataFolder);
    std::filesystem::create_directory(vm.dataFolder);
}

bool isVoter(FleetFixture &fixture, const std::string &id)
{
    const nlohmann::json status = nlohmann::json::parse(fixture.fleet.command({"--json", "control", "status"}).output, nullptr, false);
    const nlohmann::json replicas = status.is_object() ? status.value("replicas", nlohmann::json::array()) : nlohmann::json::array();
    return std::any_of(
        replicas.begin(), replicas.end(), [&id](const nlohmann::json &replica) { return replica["id"] == id && !replica["learner"].get<bool>(); });
}

/// All VMs come to hold all accepted teams and the same version.
bool allAgree(FleetFixture &fixture, const std::set<std::string> &accepted)
{
    return Harness::waitUntil(30s, [&] {
        std::set<std::uint64_t> versions;
        bool complete = true;
        for (std::size_t vm = 0; vm < fixture.fleet.vms().size(); ++vm) {
            versions.insert(versionOf(fixture, vm));
            complete = complete && holdsAll(teamsOf(fixture, vm), accepted);
        }
        return complete && versions.size() == 1;
    });
}

/// Sends changes one after the other until it is stopped and keeps the names of those that were answered as accepted.
class ChangeStream
{
public:
    ChangeStream(FleetFixture &fixture, const std::string &prefix)
        : thread([this, &fixture, prefix] {
            for (int index = 0; !this->stopping; ++index) {
                const std::string name = prefix + std::to_string(index);
                if (fixture.fleet.putTeam(name, 5, 5)) {
                    this->accepted.insert(name);
                    ++this->count;
                }
            }
        })
    {
    }

    ~ChangeStream()
    {
        this->stop();
    }

    bool waitForMore(int more)
    {
        const int before = this->count;
        return Harness::waitUntil(30s, [this, before, more] { return this->count >= before + more; });
    }

    std::set<std::string> stop()
    {
        this->stopping = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return this->accepted;
    }

private:
    std::atomic<bool> stopping{false};
    std::atomic<int> count{0};
    std::set<std::string> accepted;
    std::thread thread;
};

} // namespace

// Guards against a leader that was cut off silently and, once back, answers or acts from its old term.
CATCH_TEST_CASE("A leader that was stopped past its lease reverts no change", "[integration][config-in-force]")
{
    FleetFixture fixture(1);
    fixture.start(1, 1);
    for (int round = 0; round < 2; ++round) {
        const std::size_t leader = leaderIndex(fixture);
        ChangeStream changes(fixture, "round" + std::to_string(round) + "-");
        CATCH_REQUIRE(changes.waitForMore(5));
        fixture.fleet.vms()[leader].process->pause();
        CATCH_REQUIRE(changes.waitForMore(3));
        const std::uint64_t before = versionOf(fixture, 3);
        fixture.fleet.vms()[leader].process->resume();
        // A change that goes to the former leader itself is accepted by the present one or refused.
        fixture.fleet.commandTo(leader, {"change", "put-team", "name=stale", "owner=o", "rate=1", "burst=1", "weight=1"});
        CATCH_REQUIRE(changes.waitForMore(3));
        const std::set<std::string> accepted = changes.stop();
        CATCH_CHECK(allAgree(fixture, accepted));
        CATCH_CHECK(versionOf(fixture, leader) >= before);
    }
}

// Guards against changes that were answered before they were on a majority of the disks.
CATCH_TEST_CASE("All changes answered as accepted outlive the kill of all control VMs at once", "[integration][config-in-force]")
{
    FleetFixture fixture(1);
    fixture.start(1, 1);
    for (int round = 0; round < 3; ++round) {
        ChangeStream changes(fixture, "kill" + std::to_string(round) + "-");
        CATCH_REQUIRE(changes.waitForMore(10));
        for (std::size_t index = 0; index < controlVms; ++index) {
            fixture.fleet.vms()[index].process->kill();
        }
        for (std::size_t index = 0; index < controlVms; ++index) {
            CATCH_REQUIRE(fixture.fleet.startVm(index));
        }
        CATCH_REQUIRE(changes.waitForMore(3));
        const std::set<std::string> accepted = changes.stop();
        CATCH_CHECK(allAgree(fixture, accepted));
    }
}

// Guards against a replaced replica that counts before it has caught up: the next loss would take accepted changes with it.
CATCH_TEST_CASE("A control VM lost right after the repair of another costs no accepted change", "[integration][config-in-force]")
{
    FleetFixture fixture(1);
    fixture.start(1, 1);
    std::set<std::string> accepted;
    for (int index = 0; index < 30; ++index) {
        CATCH_REQUIRE(fixture.fleet.putTeam("early" + std::to_string(index), 5, 5));
        accepted.insert("early" + std::to_string(index));
    }
    const std::size_t lostNext = leaderIndex(fixture);
    const std::size_t repaired = (lostNext + 1) % controlVms;
    loseDiskOf(fixture, repaired);
    CATCH_REQUIRE(fixture.fleet.startVm(repaired));
    Harness::TestFleet::Vm &vm = fixture.fleet.vms()[repaired];
    CATCH_REQUIRE(Harness::waitUntil(10s, [&vm] { return Harness::get("http://" + vm.administrationAddress + "/healthz").status == 200; }));
    CATCH_REQUIRE(Harness::waitUntil(10s, [&] {
        return fixture.fleet.command({"control", "replace", vm.id, "--from=" + vm.administrationAddress}).exitCode == 0;
    }));
    // The repaired replica may still be a learner; then no change is accepted until the second VM is back, and none is lost.
    fixture.fleet.vms()[lostNext].process->kill();
    accepted.insert(putIfAccepted(fixture, "while-lost"));
    CATCH_REQUIRE(fixture.fleet.startVm(lostNext));
    CATCH_REQUIRE(Harness::waitUntil(30s, [&fixture] { return fixture.fleet.putTeam("after-return", 5, 5); }));
    accepted.insert("after-return");
    accepted.erase("");
    CATCH_CHECK(allAgree(fixture, accepted));
    // Once the repaired replica counts, the group goes on without the second disk.
    CATCH_REQUIRE(Harness::waitUntil(20s, [&fixture, &vm] { return isVoter(fixture, vm.id); }));
    loseDiskOf(fixture, lostNext);
    CATCH_REQUIRE(Harness::waitUntil(30s, [&fixture] { return fixture.fleet.putTeam("after-both", 5, 5); }));
    accepted.insert("after-both");
    CATCH_CHECK(holdsAll(teamsOf(fixture, repaired), accepted));
    CATCH_REQUIRE(fixture.fleet.startVm(lostNext));
    CATCH_CHECK(allAgree(fixture, accepted));
}

// Guards against a change that is made twice, or answered differently, when an operator resends it to another VM after a lost answer.
CATCH_TEST_CASE("A change resent to any VM gets its first answer and is made once", "[integration][config-in-force]")
{
    FleetFixture fixture(1);
    fixture.start(1, 1);
    const std::vector<std::string> change = {"--change_id=resent", "--json", "change", "put-team", "name=once", "owner=o", "rate=5", "burst=5", "weight=1"};
    CATCH_REQUIRE(fixture.fleet.commandTo(leaderIndex(fixture), change).exitCode == 0);
    CATCH_REQUIRE(fixture.fleet.waitInForce());
    const std::uint64_t version = versionOf(fixture, 0);
    fixture.fleet.vms()[leaderIndex(fixture)].process->kill();
    for (std::size_t vm = 0; vm < fixture.fleet.vms().size(); ++vm) {
        if (fixture.fleet.vms()[vm].process->waitForExit(0ms)) {
            continue;
        }
        CATCH_INFO(vm);
        CATCH_CHECK(Harness::waitUntil(10s, [&] { return fixture.fleet.commandTo(vm, change).exitCode == 0; }));
        CATCH_CHECK(versionOf(fixture, vm) == version);
    }
}
