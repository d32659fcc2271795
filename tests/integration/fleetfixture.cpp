#include "fleetfixture.h"

#include <catch2/catch.hpp>

namespace Hyssophall::Tests {

FleetFixture::FleetFixture(int entryVms, const std::string &extraSettings)
    : fleet(optionsOf(entryVms, extraSettings))
{
}

void FleetFixture::start(int readInstances, int orderInstances)
{
    CATCH_REQUIRE(this->fleet.start());
    CATCH_REQUIRE(this->fleet.putService("reads"));
    CATCH_REQUIRE(this->fleet.putService("orders"));
    CATCH_REQUIRE(this->fleet.putRoute("reads", "/reads", "reads", true));
    CATCH_REQUIRE(this->fleet.putRoute("orders", "/orders", "orders", false));
    CATCH_REQUIRE(this->fleet.putTeam("red", 1000, 1000));
    CATCH_REQUIRE(this->fleet.putTeam("blue", 1000, 1000));
    this->redKey = this->fleet.createKey("red", "red-1");
    this->blueKey = this->fleet.createKey("blue", "blue-1");
    CATCH_REQUIRE_FALSE(this->redKey.empty());
    CATCH_REQUIRE_FALSE(this->blueKey.empty());
    for (int index = 0; index < readInstances; ++index) {
        this->fleet.startUpstream("reads", "reads-" + std::to_string(index));
    }
    for (int index = 0; index < orderInstances; ++index) {
        this->fleet.startUpstream("orders", "orders-" + std::to_string(index));
    }
    CATCH_REQUIRE(this->fleet.waitInForce());
    CATCH_REQUIRE(this->fleet.waitInstances("reads", static_cast<std::size_t>(readInstances)));
    CATCH_REQUIRE(this->fleet.waitInstances("orders", static_cast<std::size_t>(orderInstances)));
    // A new owner's buckets start empty and fill at the team's rate.
    CATCH_REQUIRE(Harness::waitUntil(std::chrono::seconds(10), [this] { return this->fleet.call(0, "GET", "/reads/warm", this->redKey).status == 200; }));
    CATCH_REQUIRE(Harness::waitUntil(std::chrono::seconds(10), [this] { return this->fleet.call(0, "GET", "/reads/warm", this->blueKey).status == 200; }));
}

Harness::TestFleet::Options FleetFixture::optionsOf(int entryVms, const std::string &extraSettings)
{
    Harness::TestFleet::Options options;
    options.programs = HYSSOPHALL_BINARIES;
    options.entryVms = entryVms;
    options.extraSettings = extraSettings;
    return options;
}

} // namespace Hyssophall::Tests
