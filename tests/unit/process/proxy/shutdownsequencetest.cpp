#include "process/proxy/shutdownsequence.h"

#include <boost/leaf/result.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <string>

using namespace Hyssophall;

namespace {

std::string orderOfSteps(bool idle)
{
    std::string order;
    ShutdownSequence::Steps steps;
    steps.markUnready = [&order] { order += "announce "; };
    steps.sleep = [&order](std::chrono::milliseconds duration) { order += "sleep " + std::to_string(duration.count()) + " "; };
    steps.stopAccepting = [&order] { order += "stop "; };
    steps.waitUntilIdle = [&order, idle](std::chrono::milliseconds limit) {
        order += "wait " + std::to_string(limit.count()) + " ";
        return idle;
    };
    steps.leaveFleet = [&order] { order += "leave"; };
    CATCH_CHECK(ShutdownSequence({std::chrono::milliseconds(3), std::chrono::milliseconds(30)}, steps).run() == idle);
    return order;
}

} // namespace

CATCH_TEST_CASE("A shutdown makes the VM unready before it refuses requests, and leaves the fleet last", "[proxy][graceful-shutdown]")
{
    // Guards against refusing requests before the load balancer has detected the shutdown, and against returning leases that requests in flight still need.
    CATCH_CHECK(orderOfSteps(true) == "announce sleep 3 stop wait 30 leave");
    CATCH_CHECK(orderOfSteps(false) == "announce sleep 3 stop wait 30 leave");
}

namespace {

/// The settings that the template of the deployment gives an entry VM, with @p killAfter from the command line.
Settings::Shutdown deployedShutdown(std::chrono::milliseconds killAfter)
{
    std::ifstream stream(HYSSOPHALL_SOURCE "/platform/entry.ini");
    std::string section;
    bool isShutdown = false;
    for (std::string line; std::getline(stream, line);) {
        isShutdown = line.starts_with("[") ? line == "[shutdown]" : isShutdown;
        section += isShutdown ? line + "\n" : std::string();
    }
    const boost::leaf::result<Settings> settings = Settings::create("[vm]\nid = vm-1\nfailure_domain = a\n"
                                                                    "[listen]\ncaller = 127.0.0.1:8080\nadministration = 127.0.0.1:8081\n"
                                                                    "fleet = 127.0.0.1:8082\n[fleet]\nsecret = 0123456789abcdef\n"
            + section,
        "entry.ini");
    CATCH_REQUIRE(settings);
    CATCH_CHECK(settings->shutdown.killAfter == std::chrono::seconds(6));
    Settings::Shutdown shutdown = settings->shutdown;
    shutdown.killAfter = killAfter;
    return shutdown;
}

} // namespace

// Guards against requests that are accepted late in a planned stop and cut off while their instance is at work, and against a stop that doesn't know when the
// process is killed.
CATCH_TEST_CASE("A deployed VM accepts requests until the balancer has noticed the stop, and waits for them until shortly before it is killed",
    "[proxy][graceful-shutdown]")
{
    using std::chrono::milliseconds;
    for (const milliseconds killAfter : {milliseconds(6000), milliseconds(10000), milliseconds(2000)}) {
        CATCH_CAPTURE(killAfter.count());
        milliseconds accepted{0};
        milliseconds waited{0};
        ShutdownSequence::Steps steps;
        steps.markUnready = [] {};
        steps.sleep = [&accepted](milliseconds duration) { accepted = duration; };
        steps.stopAccepting = [] {};
        steps.waitUntilIdle = [&waited](milliseconds limit) {
            waited = limit;
            return true;
        };
        steps.leaveFleet = [] {};
        ShutdownSequence(deployedShutdown(killAfter), steps).run();
        // Two readiness checks that are a second apart fail before the balancer stops using the VM.
        CATCH_CHECK(accepted >= std::min(milliseconds(2000), killAfter / 2));
        // A request that came later must not be cut off.
        CATCH_CHECK(accepted <= milliseconds(3000));
        // An earlier one may be cut off in the last sixth of the time alone.
        CATCH_CHECK(accepted + waited >= killAfter * 5 / 6);
        CATCH_CHECK(accepted + waited < killAfter);
    }
}
