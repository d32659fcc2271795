#include "unit/process/limits/delayedfleet.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdint>

using namespace HyssophallTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vms = 48;
/// Half of the entry VMs, and two fifths of them.
constexpr std::size_t half = 24;
constexpr std::size_t twoFifths = 19;
constexpr std::size_t nineTenths = 43;

struct Flood {
    TeamRate rate;
    int perSecond;
};

/// A very small team, a small one, a large one, and one whose burst is the rate of five seconds. Each sends about four times its rate or more.
const std::vector<Flood> floods{{{2, 2}, 40}, {{15, 15}, 60}, {{52, 52}, 210}, {{20, 100}, 210}};
const std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5};

constexpr std::size_t largeFleet = 442;

struct MovingFleet {
    std::size_t vms;
    std::vector<TeamRate> rates;
    std::uint64_t seeds;
};

/// The large fleet has fewer cases, since it takes seconds for each.
const std::vector<MovingFleet> movingFleets{{vms, {{5, 5}, {20, 20}, {60, 60}, {200, 200}}, 3}, {largeFleet, {{5, 5}, {60, 60}}, 1}};

int requestsPerSecond(const TeamRate &rate, double part)
{
    return static_cast<int>(std::lround(part * rate.rate));
}

/// How VMs lose their streams, each for 50 to 900 ms where nothing else is said.
enum class Loss : std::uint8_t {
    /// All at the same moment.
    AllAtOnce,
    /// A third of the VMs each second.
    ThirdEachSecond,
    /// One after another, each about once in two seconds.
    OneByOne,
    /// All at the same moment, for 900 to 930 ms.
    AllTogether,
};

const std::vector<Loss> separateReturns{Loss::AllAtOnce, Loss::ThirdEachSecond, Loss::OneByOne};
const std::vector<Loss> losses{Loss::AllAtOnce, Loss::ThirdEachSecond, Loss::OneByOne, Loss::AllTogether};

/// Runs four seconds, in which VMs lose their streams.
void runWithLosses(DelayedFleet &fleet, std::size_t count, Loss loss, int perSecond)
{
    constexpr std::chrono::milliseconds shortest = 50ms;
    constexpr std::chrono::milliseconds longest = 900ms;
    switch (loss) {
    case Loss::AllAtOnce:
        fleet.loseStreams(count, shortest, longest);
        fleet.run(4s, perSecond);
        return;
    case Loss::ThirdEachSecond:
        for (int second = 0; second < 4; ++second) {
            fleet.loseStreams(count / 3, shortest, longest);
            fleet.run(1s, perSecond);
        }
        return;
    case Loss::OneByOne:
        for (int step = 0; step < 80; ++step) {
            fleet.loseStreams(count / 40 + 1, shortest, longest);
            fleet.run(50ms, perSecond);
        }
        return;
    case Loss::AllTogether:
        fleet.loseStreams(count, 900ms, 930ms);
        fleet.run(4s, perSecond);
        return;
    }
}

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

// Guards against a fleet that refuses teams within their limits for a window after a partition, because each VM assumes that the VMs that it didn't
// see used the limits in full.
CATCH_TEST_CASE("A team within its limit is admitted again half a second after most VMs were cut off", "[fleet-limit]")
{
    for (const TeamRate &rate : std::vector<TeamRate>{{6, 6}, {15, 15}, {52, 52}}) {
        for (const std::uint64_t seed : seeds) {
            CATCH_CAPTURE(rate.rate, seed);
            const int perSecond = static_cast<int>(0.6 * rate.rate);
            DelayedFleet fleet(vms, rate, seed);
            fleet.run(8s, perSecond);
            fleet.partition(nineTenths);
            fleet.run(14s, perSecond);
            fleet.heal();
            fleet.run(500ms, perSecond);
            const std::size_t admittedBefore = fleet.admitted();
            const std::size_t decidedBefore = fleet.decided();
            fleet.run(4s, perSecond);
            const double admitted = static_cast<double>(fleet.admitted() - admittedBefore);
            CATCH_CHECK(admitted >= 0.9 * static_cast<double>(fleet.decided() - decidedBefore));
        }
    }
}

// Guards against a fleet that admits a flood again once VMs that were cut off for longer than a window are back.
CATCH_TEST_CASE("A flooding team keeps to its limit when most VMs were cut off for several windows", "[fleet-limit]")
{
    for (const Flood &flood : std::vector<Flood>{{{15, 15}, 60}, {{52, 52}, 210}, {{20, 100}, 210}}) {
        for (const std::uint64_t seed : seeds) {
            CATCH_CAPTURE(flood.rate.rate, seed);
            DelayedFleet fleet(vms, flood.rate, seed);
            fleet.run(8s, flood.perSecond / 8);
            fleet.partition(nineTenths);
            fleet.run(14s, flood.perSecond);
            fleet.heal();
            fleet.run(6s, flood.perSecond);
            CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
        }
    }
}

// Guards against VMs that refuse teams far below their limits while they move from one relay to another.
CATCH_TEST_CASE("A team within its limit isn't refused by VMs that have just lost their streams", "[fleet-limit]")
{
    for (const MovingFleet &moving : movingFleets) {
        for (const Loss loss : separateReturns) {
            std::size_t decided = 0;
            std::size_t admitted = 0;
            for (const TeamRate &rate : moving.rates) {
                for (const double part : {0.4, 0.6}) {
                    for (std::uint64_t seed = 1; seed <= moving.seeds; ++seed) {
                        DelayedFleet fleet(moving.vms, rate, seed);
                        const int perSecond = requestsPerSecond(rate, part);
                        fleet.run(6s, perSecond);
                        const std::size_t decidedBefore = fleet.decided();
                        const std::size_t admittedBefore = fleet.admitted();
                        runWithLosses(fleet, moving.vms, loss, perSecond);
                        // Requests that still wait are decided in this time.
                        fleet.run(1500ms, 0);
                        decided += fleet.decided() - decidedBefore;
                        admitted += fleet.admitted() - admittedBefore;
                    }
                }
            }
            CATCH_CAPTURE(moving.vms, static_cast<int>(loss), decided, admitted);
            CATCH_CHECK(static_cast<double>(decided - admitted) <= 0.005 * static_cast<double>(decided));
        }
    }
}

// Guards against VMs that lose their streams as a flood begins and go by what they knew of the team before it.
CATCH_TEST_CASE("A team that begins to flood keeps to its limit while VMs lose their streams", "[fleet-limit]")
{
    for (const MovingFleet &moving : movingFleets) {
        for (const Loss loss : losses) {
            for (const TeamRate &rate : moving.rates) {
                for (const double flood : {4.6, 7.5}) {
                    for (std::uint64_t seed = 1; seed <= moving.seeds; ++seed) {
                        CATCH_CAPTURE(moving.vms, static_cast<int>(loss), rate.rate, flood, seed);
                        DelayedFleet fleet(moving.vms, rate, seed);
                        fleet.run(6s, requestsPerSecond(rate, 0.5));
                        runWithLosses(fleet, moving.vms, loss, requestsPerSecond(rate, flood));
                        CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
                    }
                }
            }
        }
    }
}

// Guards against a fleet with more VMs than the deployment's tolerance has requests, in which each VM may admit one request of a team that it knows no use of.
CATCH_TEST_CASE("A team that was idle and floods a large fleet keeps to its limit while no VM receives updates", "[fleet-limit]")
{
    for (const TeamRate &rate : std::vector<TeamRate>{{5, 5}, {20, 20}, {60, 60}}) {
        CATCH_CAPTURE(rate.rate);
        DelayedFleet fleet(largeFleet, rate, 1);
        fleet.run(6s, 0);
        fleet.loseStreams(largeFleet, 10s, 11s);
        fleet.run(5s, requestsPerSecond(rate, 7.5));
        CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
    }
}
