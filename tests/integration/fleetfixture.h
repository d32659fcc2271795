#pragma once

#include "harness/testfleet.h"

#include <set>
#include <string>

namespace Hyssophall::Tests {

/// A running fleet with a service of reads, a service of orders, two teams and their keys.
class FleetFixture
{
public:
    explicit FleetFixture(int entryVms = 1, const std::string &extraSettings = "", bool entryDataFolders = false);

    /// Starts the fleet and puts the entries in. Fails the test case when that isn't possible.
    void start(int readInstances = 2, int orderInstances = 2);

    /// As start(), with a fault proxy in front of each instance.
    void startBehindProxies(int readInstances, int orderInstances);

    /// Runs over all instances that still live, by the run's key (the idempotency key or "METHOD url").
    std::uint64_t runsOf(const std::string &runKey);
    std::uint64_t totalRuns(const std::string &service);
    /// Index of the VM that owns a shard such as that of "team:red" while all VMs but those of @p absent live.
    std::size_t shardOwner(const std::string &name, const std::set<std::size_t> &absent = {});
    bool setLinkFaults(const nlohmann::json &faults);

    Harness::TestFleet fleet;
    std::string redKey;
    std::string blueKey;

private:
    static Harness::TestFleet::Options optionsOf(int entryVms, const std::string &extraSettings, bool entryDataFolders);
    void putEntries();
    void waitForInstances(int readInstances, int orderInstances);
};

} // namespace Hyssophall::Tests
