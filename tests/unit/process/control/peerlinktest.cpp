#include "process/control/peerlink.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;

// Guards against a lost leader whose logs don't tell whether a request waited in the queue, for the follower or for the replica.
CATCH_TEST_CASE("A link to another replica tells where the time of a request went", "[control]")
{
    std::vector<PeerLink::Durations> exchanges;
    std::promise<void> done;
    PeerLink::Hooks hooks;
    hooks.call = [](const RaftReplica::Request &, std::chrono::milliseconds) {
        std::this_thread::sleep_for(40ms);
        return std::optional<RaftReplica::Reply>(ControlMessages::AppendReply());
    };
    hooks.handleReply
        = [](const RaftReplica::Replica &, const RaftReplica::Request &, SteadyTime, const RaftReplica::Reply &) { std::this_thread::sleep_for(20ms); };
    hooks.exchanged = [&exchanges, &done](const RaftReplica::Replica &, const PeerLink::Durations &durations) {
        exchanges.push_back(durations);
        if (exchanges.size() == 2) {
            done.set_value();
        }
    };
    PeerLink link(std::move(hooks), 10s);
    link.send(RaftReplica::Replica(), ControlMessages::AppendRequest());
    link.send(RaftReplica::Replica(), ControlMessages::AppendRequest());
    CATCH_REQUIRE(done.get_future().wait_for(10s) == std::future_status::ready);
    CATCH_CHECK(exchanges[0].call >= 40ms);
    CATCH_CHECK(exchanges[0].handling >= 20ms);
    CATCH_CHECK(exchanges[0].hasReply);
    CATCH_CHECK(exchanges[1].queued >= 55ms);
    CATCH_CHECK(exchanges[1].total() >= 115ms);
}
