#include "process/health/instancepathmonitor.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

struct MonitorFixture {
    SteadyTime now{1h};
    int changes = 0;
    InstancePathMonitor monitor{{[this] { return this->now; }, [this](bool, std::size_t) { ++this->changes; }}};
};

} // namespace

// Guards against a VM that goes on trying instance after instance although its own connection to all of them is gone.
CATCH_TEST_CASE("A VM whose connections to several hosts fail one after the other counts as partitioned", "[health][lost-path]")
{
    MonitorFixture fixture;
    fixture.monitor.recordConnectFailed("10.0.0.1", true);
    CATCH_CHECK(!fixture.monitor.isPartitioned());
    fixture.monitor.recordConnectFailed("10.0.0.2", true);
    CATCH_CHECK(fixture.monitor.isPartitioned());
    CATCH_CHECK(fixture.changes == 1);
    // One connection may be a coincidence.
    fixture.monitor.recordConnected("10.0.0.3", fixture.now);
    CATCH_CHECK(fixture.monitor.isPartitioned());
    fixture.monitor.recordConnected("10.0.0.4", fixture.now);
    CATCH_CHECK(!fixture.monitor.isPartitioned());
    CATCH_CHECK(fixture.changes == 2);
}

// Guards against a VM that takes instances that ended for its own partition, and so never reports them as unreachable.
CATCH_TEST_CASE("Failures of single instances don't make a VM count as partitioned", "[health][lost-path]")
{
    MonitorFixture fixture;
    for (int round = 0; round < 10; ++round) {
        // Several instances on the same host.
        fixture.monitor.recordConnectFailed("10.0.0.1", true);
    }
    CATCH_CHECK(!fixture.monitor.isPartitioned());
    fixture.monitor.recordConnected("10.0.0.2", fixture.now);
    fixture.monitor.recordConnectFailed("10.0.0.3", true);
    CATCH_CHECK(!fixture.monitor.isPartitioned());
    fixture.now += 3s;
    fixture.monitor.recordConnectFailed("10.0.0.4", true);
    CATCH_CHECK(!fixture.monitor.isPartitioned());
}

// Guards against a whole service that is down being taken for a partition of each VM that tries its instances.
CATCH_TEST_CASE("Instances that serve nobody are weaker evidence of a partition than those that serve other VMs", "[health][lost-path]")
{
    MonitorFixture fixture;
    for (const char *host : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        fixture.monitor.recordConnectFailed(host, false);
    }
    CATCH_CHECK(!fixture.monitor.isPartitioned());
    fixture.monitor.recordConnectFailed("10.0.0.4", false);
    CATCH_CHECK(fixture.monitor.isPartitioned());
}

// Guards against a request that was sent before the partition and ends during it, and so seems to show that the VM reaches instances.
CATCH_TEST_CASE("A connection that was opened before the latest failure doesn't end a partition", "[health][lost-path]")
{
    MonitorFixture fixture;
    const SteadyTime before = fixture.now;
    fixture.now += 300ms;
    fixture.monitor.recordConnectFailed("10.0.0.1", true);
    fixture.monitor.recordConnected("10.0.0.2", before);
    fixture.monitor.recordConnectFailed("10.0.0.3", true);
    CATCH_REQUIRE(fixture.monitor.isPartitioned());
    fixture.now += 1s;
    fixture.monitor.recordConnected("10.0.0.4", before);
    fixture.monitor.recordConnected("10.0.0.5", before);
    CATCH_CHECK(fixture.monitor.isPartitioned());
    CATCH_CHECK(fixture.monitor.lastConnected() == before);
}
