#include "fleetfixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Tests::FleetFixture;

namespace {

nlohmann::json statusOf(FleetFixture &fixture)
{
    return nlohmann::json::parse(fixture.fleet.command({"--json", "control", "status"}).output, nullptr, false);
}

std::size_t leaderIndex(FleetFixture &fixture)
{
    const std::string leader = statusOf(fixture).value("leader", "");
    for (std::size_t index = 0; index < 3; ++index) {
        if (fixture.fleet.vms()[index].id == leader) {
            return index;
        }
    }
    return 0;
}

bool hasTeam(FleetFixture &fixture, const std::string &name)
{
    return fixture.fleet.command({"--json", "catalogue"}).output.find("\"" + name + "\"") != std::string::npos;
}

} // namespace

CATCH_TEST_CASE("Of two operators' changes with equal numbers one is accepted, and a resend gets the first answer", "[integration][config-in-force]")
{
    FleetFixture fixture(1);
    fixture.start(1, 1);
    const nlohmann::json version = statusOf(fixture)["catalogue_version"];
    const std::string expected = version.is_string() ? version.get<std::string>() : version.dump();
    std::vector<int> codes(2);
    std::vector<std::thread> operators;
    for (int index = 0; index < 2; ++index) {
        operators.emplace_back([&, index] {
            Harness::TestFleet::CommandResult result = fixture.fleet.command({"--expect=" + expected,
                "--change_id=change-" + std::to_string(index),
                "change",
                "put-team",
                "name=team-" + std::to_string(index),
                "owner=o",
                "rate=5",
                "burst=5",
                "weight=1"});
            codes[static_cast<std::size_t>(index)] = result.exitCode;
        });
    }
    for (std::thread &thread : operators) {
        thread.join();
    }
    CATCH_INFO(codes[0] << " " << codes[1]);
    CATCH_REQUIRE(std::multiset<int>(codes.begin(), codes.end()) == std::multiset<int>{0, 2});
    const std::string winner = codes[0] == 0 ? "0" : "1";
    const Harness::TestFleet::CommandResult resent = fixture.fleet.command(
        {"--expect=" + expected, "--change_id=change-" + winner, "change", "put-team", "name=team-" + winner, "owner=o", "rate=5", "burst=5", "weight=1"});
    CATCH_REQUIRE(resent.exitCode == 0);
}

CATCH_TEST_CASE("Accepted changes survive the killed leader and a lost disk, and come into force everywhere", "[integration][config-in-force]")
{
    FleetFixture fixture(1);
    fixture.start(1, 1);
    CATCH_REQUIRE(fixture.fleet.putTeam("before", 5, 5));
    const std::size_t leader = leaderIndex(fixture);
    fixture.fleet.vms()[leader].process->kill();
    CATCH_REQUIRE(Harness::waitUntil(10s, [&fixture] { return fixture.fleet.putTeam("without-leader", 5, 5); }));
    CATCH_REQUIRE(fixture.fleet.startVm(leader));
    CATCH_REQUIRE(Harness::waitUntil(10s, [&fixture] { return fixture.fleet.putTeam("after", 5, 5); }));
    CATCH_REQUIRE(fixture.fleet.waitInForce());
    CATCH_REQUIRE(hasTeam(fixture, "before"));
    CATCH_REQUIRE(hasTeam(fixture, "without-leader"));
    CATCH_REQUIRE(hasTeam(fixture, "after"));
    // Requests went on all the time; so they do now.
    CATCH_REQUIRE(fixture.fleet.call(3, "GET", "/reads/x", fixture.redKey).status == 200);
}

CATCH_TEST_CASE("Traffic goes on while the control group has no quorum, and changes are refused as such", "[integration][config-in-force]")
{
    FleetFixture fixture(4);
    fixture.start(2, 1);
    fixture.fleet.vms()[0].process->kill();
    fixture.fleet.vms()[1].process->kill();
    // Shards of the killed VMs move to others.
    std::this_thread::sleep_for(8s);
    for (int request = 0; request < 50; ++request) {
        const Harness::HttpResponse answer = fixture.fleet.call(3 + static_cast<std::size_t>(request) % 4, "GET", "/reads/x", fixture.redKey);
        CATCH_INFO(answer.status << " " << answer.body);
        CATCH_REQUIRE(answer.status == 200);
    }
    CATCH_REQUIRE(fixture.fleet.command({"change", "put-team", "name=late", "owner=o", "rate=1", "burst=1", "weight=1"}).exitCode >= 4);
}

CATCH_TEST_CASE("A VM that was down for hundreds of changes catches up and never shows an older version", "[integration][config-in-force]")
{
    FleetFixture fixture(1);
    fixture.start(1, 1);
    fixture.fleet.vms()[3].process->kill();
    for (int change = 0; change < 200; ++change) {
        CATCH_REQUIRE(fixture.fleet.putTeam("team-" + std::to_string(change % 20), 1 + change, 5));
    }
    CATCH_REQUIRE(fixture.fleet.startVm(3));
    CATCH_REQUIRE(fixture.fleet.waitInForce());
    CATCH_REQUIRE(Harness::waitUntil(10s, [&fixture] { return fixture.fleet.call(3, "GET", "/reads/x", fixture.redKey).status == 200; }));
}
