#include "process/health/pendingconnectfailures.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace Hyssophall;
using namespace std::chrono_literals;

// Guards against instances that are called unreachable for the VM's own partition, and against ended instances that are never called so.
CATCH_TEST_CASE("A connection failure is the instance's if the VM connects to another one afterwards", "[health][lost-path][false-ejection]")
{
    constexpr SteadyTime start{1h};
    PendingConnectFailures failures;
    failures.add(7, start);
    CATCH_CHECK(failures.settle(false, std::nullopt, start).empty());
    // A connection from before the failure shows nothing.
    CATCH_CHECK(failures.settle(false, start - 1ms, start + 10ms).empty());
    const std::vector<PendingConnectFailures::Settled> settled = failures.settle(false, start + 5ms, start + 10ms);
    CATCH_REQUIRE(settled.size() == 1);
    CATCH_CHECK(settled[0].instance == 7);
    CATCH_CHECK(settled[0].cause == PendingConnectFailures::Cause::Instance);
    CATCH_CHECK(failures.settle(false, start + 5ms, start + 10ms).empty());

    failures.add(8, start + 20ms);
    CATCH_CHECK(failures.settle(true, start + 5ms, start + 30ms).at(0).cause == PendingConnectFailures::Cause::Other);
    // Without any later connection, nobody knows.
    failures.add(9, start + 40ms);
    CATCH_CHECK(failures.settle(false, start + 5ms, start + 2s).at(0).cause == PendingConnectFailures::Cause::Other);
}
