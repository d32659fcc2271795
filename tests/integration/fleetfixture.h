#pragma once

#include "harness/testfleet.h"

#include <string>

namespace Hyssophall::Tests {

/// A running fleet with a service of reads, a service of orders, two teams and their keys.
class FleetFixture
{
public:
    explicit FleetFixture(int entryVms = 1, const std::string &extraSettings = "");

    /// Starts the fleet and puts the entries in. Fails the test case when that isn't possible.
    void start(int readInstances = 2, int orderInstances = 2);

    Harness::TestFleet fleet;
    std::string redKey;
    std::string blueKey;

private:
    static Harness::TestFleet::Options optionsOf(int entryVms, const std::string &extraSettings);
};

} // namespace Hyssophall::Tests
