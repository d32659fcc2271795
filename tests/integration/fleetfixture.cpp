#include "fleetfixture.h"

#include "process/fleet/shardleases.h"
#include "version/committee.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <memory>

namespace Hyssophall::Tests {

FleetFixture::FleetFixture(int entryVms, const std::string &extraSettings, bool entryDataFolders)
    : fleet(optionsOf(entryVms, extraSettings, entryDataFolders))
{
}

void FleetFixture::start(int readInstances, int orderInstances)
{
    this->putEntries();
    for (int index = 0; index < readInstances; ++index) {
        this->fleet.startUpstream("reads", "reads-" + std::to_string(index));
    }
    for (int index = 0; index < orderInstances; ++index) {
        this->fleet.startUpstream("orders", "orders-" + std::to_string(index));
    }
    this->waitForInstances(readInstances, orderInstances);
}

void FleetFixture::startBehindProxies(int readInstances, int orderInstances)
{
    this->putEntries();
    for (int index = 0; index < readInstances; ++index) {
        this->fleet.startUpstreamBehindProxy("reads", "reads-" + std::to_string(index));
    }
    for (int index = 0; index < orderInstances; ++index) {
        this->fleet.startUpstreamBehindProxy("orders", "orders-" + std::to_string(index));
    }
    this->waitForInstances(readInstances, orderInstances);
}

std::uint64_t FleetFixture::runsOf(const std::string &runKey)
{
    std::uint64_t total = 0;
    for (const std::unique_ptr<Harness::TestFleet::Upstream> &upstream : this->fleet.upstreams()) {
        if (!upstream->process->waitForExit(std::chrono::milliseconds(0))) {
            total += this->fleet.record(*upstream)["runs"].value(runKey, std::uint64_t{0});
        }
    }
    return total;
}

std::uint64_t FleetFixture::totalRuns(const std::string &service)
{
    std::uint64_t total = 0;
    for (const std::unique_ptr<Harness::TestFleet::Upstream> &upstream : this->fleet.upstreams()) {
        if (upstream->id.starts_with(service) && !upstream->process->waitForExit(std::chrono::milliseconds(0))) {
            total += this->fleet.record(*upstream)["total"].get<std::uint64_t>();
        }
    }
    return total;
}

std::size_t FleetFixture::shardOwner(const std::string &name, const std::set<std::size_t> &absent)
{
    std::vector<std::string> ids;
    for (std::size_t index = 0; index < this->fleet.vms().size(); ++index) {
        if (!absent.contains(index)) {
            ids.push_back(this->fleet.vms()[index].id);
        }
    }
    std::sort(ids.begin(), ids.end());
    const std::string owner = rendezvousWinner("shard:" + std::to_string(shardOf(name)), ids);
    std::size_t index = 0;
    while (this->fleet.vms()[index].id != owner) {
        ++index;
    }
    return index;
}

bool FleetFixture::setLinkFaults(const nlohmann::json &faults)
{
    return std::all_of(this->fleet.upstreams().begin(),
        this->fleet.upstreams().end(),
        [this, &faults](const std::unique_ptr<Harness::TestFleet::Upstream> &upstream) { return this->fleet.setLinkFaults(*upstream, faults); });
}

void FleetFixture::putEntries()
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
}

void FleetFixture::waitForInstances(int readInstances, int orderInstances)
{
    CATCH_REQUIRE(this->fleet.waitInForce());
    CATCH_REQUIRE(this->fleet.waitInstances("reads", static_cast<std::size_t>(readInstances)));
    CATCH_REQUIRE(this->fleet.waitInstances("orders", static_cast<std::size_t>(orderInstances)));
    // A new owner's buckets start empty and fill at the team's rate.
    CATCH_REQUIRE(Harness::waitUntil(std::chrono::seconds(10), [this] { return this->fleet.call(0, "GET", "/reads/warm", this->redKey).status == 200; }));
    CATCH_REQUIRE(Harness::waitUntil(std::chrono::seconds(10), [this] { return this->fleet.call(0, "GET", "/reads/warm", this->blueKey).status == 200; }));
}

Harness::TestFleet::Options FleetFixture::optionsOf(int entryVms, const std::string &extraSettings, bool entryDataFolders)
{
    Harness::TestFleet::Options options;
    options.programs = HYSSOPHALL_BINARIES;
    options.entryVms = entryVms;
    options.extraSettings = extraSettings;
    options.entryDataFolders = entryDataFolders;
    return options;
}

} // namespace Hyssophall::Tests
