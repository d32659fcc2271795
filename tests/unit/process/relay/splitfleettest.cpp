#include "unit/process/relay/splitfleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <vector>

using namespace HyssophallTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vms = 48;

struct Split {
    /// From the start of the flood to the cut.
    std::chrono::milliseconds after;
    std::chrono::milliseconds duration;
};

/// Cuts that begin with a flood, in it, and late in it, some of them shorter than the time after which relays notice them.
const std::vector<Split> splits{{0ms, 4s}, {400ms, 4s}, {600ms, 2s}, {300ms, 900ms}, {200ms, 500ms}, {3s, 2s}};
const std::vector<TeamRate> rates{{15, 15}, {52, 52}, {20, 100}};

int flood(const TeamRate &rate, double factor)
{
    return static_cast<int>(factor * rate.rate);
}

enum class Event : std::uint8_t {
    CutOne,
    CutTwo,
    Heal,
    LoseStreams,
    RestartRelay,
    /// A relay of the larger part, if there is a cut.
    RestartFirstRelay,
};

const std::vector<Event> events{Event::CutOne, Event::CutTwo, Event::Heal, Event::LoseStreams, Event::RestartRelay, Event::RestartFirstRelay};

void play(SplitFleet &fleet, Event event)
{
    switch (event) {
    case Event::CutOne:
        fleet.cutRelays(1);
        return;
    case Event::CutTwo:
        fleet.cutRelays(2);
        return;
    case Event::Heal:
        fleet.heal();
        return;
    case Event::LoseStreams:
        fleet.loseStreams(1);
        return;
    case Event::RestartRelay:
        fleet.restartRelay(4);
        return;
    case Event::RestartFirstRelay:
        fleet.restartRelay(0);
        return;
    }
}

} // namespace

// Guards against VMs that leave the smaller part of a split, and relays that come back from it, without telling the others what was admitted there.
CATCH_TEST_CASE("A flooding team keeps to its limit while relays are cut from each other", "[fleet-limit]")
{
    for (const TeamRate &rate : rates) {
        for (const Split &split : splits) {
            for (const std::size_t count : {std::size_t(1), std::size_t(2)}) {
                for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                    CATCH_CAPTURE(rate.rate, rate.burst, split.after.count(), split.duration.count(), count, seed);
                    SplitFleet fleet(vms, rate, seed);
                    fleet.run(6s, flood(rate, 0.6));
                    fleet.run(split.after, flood(rate, 6));
                    fleet.cutRelays(count);
                    fleet.run(split.duration, flood(rate, 6));
                    fleet.heal();
                    fleet.run(4s, flood(rate, 6));
                    CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
                }
            }
        }
    }
}

// Guards against several disturbances within one window that each let a part of the tolerance pass, or what the one before had told.
CATCH_TEST_CASE("A flooding team keeps to its limit through three disturbances of the relays within a window", "[fleet-limit]")
{
    const TeamRate rate{52, 52};
    for (const std::chrono::milliseconds gap : {400ms, 1100ms}) {
        for (const Event first : events) {
            for (const Event second : events) {
                for (const Event third : events) {
                    CATCH_CAPTURE(gap.count(), static_cast<int>(first), static_cast<int>(second), static_cast<int>(third));
                    SplitFleet fleet(vms, rate, 1);
                    fleet.run(6s, flood(rate, 0.6));
                    fleet.run(300ms, flood(rate, 6));
                    for (const Event event : {first, second, third}) {
                        play(fleet, event);
                        fleet.run(gap, flood(rate, 6));
                    }
                    fleet.heal();
                    fleet.run(3s, flood(rate, 6));
                    CATCH_CHECK(static_cast<double>(fleet.maximumInWindow()) <= fleet.allowed());
                }
            }
        }
    }
}

// Guards against teams that are refused within their limits because admissions are counted twice when VMs move or relays come back.
CATCH_TEST_CASE("A team within its limit isn't refused while relays are cut from each other", "[fleet-limit]")
{
    for (const TeamRate &rate : rates) {
        for (const Split &split : splits) {
            for (const std::size_t count : {std::size_t(1), std::size_t(2)}) {
                CATCH_CAPTURE(rate.rate, rate.burst, split.duration.count(), count);
                std::size_t decided = 0;
                std::size_t admitted = 0;
                for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                    SplitFleet fleet(vms, rate, seed);
                    fleet.run(6s, flood(rate, 0.5));
                    const std::size_t decidedBefore = fleet.decided();
                    const std::size_t admittedBefore = fleet.admitted();
                    fleet.cutRelays(count);
                    fleet.run(split.duration, flood(rate, 0.5));
                    fleet.heal();
                    fleet.run(6s, flood(rate, 0.5));
                    decided += fleet.decided() - decidedBefore;
                    admitted += fleet.admitted() - admittedBefore;
                }
                CATCH_CAPTURE(decided, admitted);
                CATCH_CHECK(static_cast<double>(decided - admitted) <= 0.005 * static_cast<double>(decided));
            }
        }
    }
}
