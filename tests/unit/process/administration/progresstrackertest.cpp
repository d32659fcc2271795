#include "process/administration/progresstracker.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using Administration::Progress;
using Administration::ProgressTracker;

namespace {

struct Fleet {
    explicit Fleet(std::size_t count)
    {
        std::vector<CatalogueMessages::Member> members(count);
        for (std::size_t index = 0; index < count; ++index) {
            members[index].set_id("vm-" + std::to_string(index));
            members[index].set_failure_domain("domain-" + std::to_string(index % 3));
            this->statuses.push_back({members[index].id(), "", "", Liveness::Alive, 1, 5});
        }
        this->roster = Roster(1, members);
    }

    Progress progress(std::uint64_t version)
    {
        return this->tracker.progress(version, this->roster, this->statuses);
    }

    SteadyTime now;
    Roster roster;
    std::vector<MemberView::MemberStatus> statuses;
    ProgressTracker tracker{std::chrono::seconds(6), [this]() { return this->now; }};
};

} // namespace

// Guards against a version reported as in force while a partitioned VM still holds a serving lease and may accept a withdrawn key.
CATCH_TEST_CASE("A dead VM counts only after its serving lease must have expired", "[administration][config-in-force]")
{
    Fleet fleet(12);
    CATCH_REQUIRE(fleet.progress(5).inForce);
    CATCH_REQUIRE_FALSE(fleet.progress(6).inForce);
    fleet.statuses[0].catalogueVersion = 4;
    CATCH_REQUIRE(fleet.progress(5).pending == std::vector<std::string>{"vm-0"});
    fleet.now += std::chrono::seconds(60);
    // An alive VM without the version still serves open routes with the older catalogue, whether it holds a lease or not.
    CATCH_REQUIRE_FALSE(fleet.progress(5).inForce);
    fleet.statuses[0].liveness = Liveness::Dead;
    CATCH_REQUIRE_FALSE(fleet.progress(5).inForce);
    fleet.now += std::chrono::milliseconds(5999);
    CATCH_REQUIRE_FALSE(fleet.progress(5).inForce);
    fleet.now += std::chrono::milliseconds(1);
    CATCH_REQUIRE(fleet.progress(5).inForce);
    CATCH_REQUIRE(fleet.progress(5).expired == 1);
}

// Guards against a partitioned VM that sees all others as dead and reports its own version as in force.
CATCH_TEST_CASE("A VM that sees most others dead proves nothing about them", "[administration][config-in-force]")
{
    Fleet fleet(12);
    for (std::size_t index = 1; index < fleet.statuses.size(); ++index) {
        fleet.statuses[index].liveness = Liveness::Dead;
        fleet.statuses[index].catalogueVersion = 4;
    }
    for (int step = 0; step < 100; ++step) {
        CATCH_REQUIRE_FALSE(fleet.progress(5).inForce);
        fleet.now += std::chrono::seconds(1);
    }
    CATCH_REQUIRE_FALSE(Fleet(0).progress(5).inForce);
}
