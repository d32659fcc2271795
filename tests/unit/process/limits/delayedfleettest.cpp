#include "unit/process/limits/delayedfleet.h"

#include <catch2/catch.hpp>

using namespace HyssophallTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vms = 48;
/// Half of the entry VMs, and two fifths of them.
constexpr std::size_t half = 24;
constexpr std::size_t twoFifths = 19;

struct Flood {
    TeamRate rate;
    int perSecond;
};

/// A very small team, a small one, a large one, and one whose burst is the rate of five seconds. Each sends about four times its rate or more.
const std::vector<Flood> floods{{{2, 2}, 40}, {{15, 15}, 60}, {{52, 52}, 210}, {{20, 100}, 210}};
const std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5};

} // namespace

// Guards against VMs that keep admitting by the whole limit while their reports don't reach the other VMs.
CATCH_TEST_CASE("A flooding team keeps to its limit while VMs are cut off and come back", "[fleet-limit]")
{
    for (const Flood &flood : floods) {
        for (const std::uint64_t seed : seeds) {
            CATCH_CAPTURE(flood.rate.rate, seed);
            DelayedFleet fleet(vms, flood.rate, seed);
            fleet.run(8s, flood.perSecond / 8);
            fleet.run(3s, flood.perSecond);
            fleet.partition(half);
            fleet.run(3s, flood.perSecond);
            fleet.heal();
            fleet.run(6s, flood.perSecond);
            CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
        }
    }
}

// Guards against VMs that resume after a suspension and admit the requests that waited by what they knew before it.
CATCH_TEST_CASE("A flooding team keeps to its limit while VMs are suspended and resume", "[fleet-limit]")
{
    for (const Flood &flood : floods) {
        for (const std::uint64_t seed : seeds) {
            CATCH_CAPTURE(flood.rate.rate, seed);
            DelayedFleet fleet(vms, flood.rate, seed);
            fleet.run(8s, flood.perSecond / 8);
            fleet.run(5s, flood.perSecond);
            fleet.suspend(twoFifths, 2s);
            fleet.run(8s, flood.perSecond);
            CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
        }
    }
}

// Guards against a fleet that restarts as a whole and grants a team its burst again, although the current window still contains its flood.
CATCH_TEST_CASE("A flooding team keeps to its limit across the loss of all processes", "[fleet-limit]")
{
    for (const Flood &flood : floods) {
        for (const std::uint64_t seed : seeds) {
            CATCH_CAPTURE(flood.rate.rate, seed);
            DelayedFleet fleet(vms, flood.rate, seed);
            fleet.run(8s, flood.perSecond / 8);
            fleet.run(6s, flood.perSecond);
            fleet.restartAll(500ms);
            fleet.run(8s, flood.perSecond);
            CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
        }
    }
}

// Guards against a fleet that uses the deployment's whole tolerance again after each of several restarts within one window.
CATCH_TEST_CASE("A flooding team keeps to its limit when all processes are lost twice within a window", "[fleet-limit]")
{
    for (const Flood &flood : floods) {
        for (const std::uint64_t seed : seeds) {
            CATCH_CAPTURE(flood.rate.rate, seed);
            DelayedFleet fleet(vms, flood.rate, seed);
            fleet.run(8s, flood.perSecond / 8);
            fleet.run(5s, flood.perSecond);
            fleet.restartAll(500ms);
            fleet.run(1s, flood.perSecond);
            fleet.suspend(half, 1s);
            fleet.run(1500ms, flood.perSecond);
            fleet.restartAll(500ms);
            fleet.run(6s, flood.perSecond);
            CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
        }
    }
}
