#include "process/control/peerlink.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace Hyssophall;
using namespace std::chrono_literals;

// Guards against a lost leader whose logs don't tell whether a request waited in the queue, for the follower or for the replica.
CATCH_TEST_CASE("A link to another replica tells where the time of a request went", "[control]")
{
    std::vector<PeerLink::Durations> exchanges;
    std::promise<void> done;
    std::promise<void> isFirstSent;
    PeerLink::Hooks hooks;
    hooks.call = [&isFirstSent, isFirst = true](const RaftReplica::Request &, std::chrono::milliseconds) mutable {
        if (isFirst) {
            isFirst = false;
            isFirstSent.set_value();
        }
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
    PeerLink::Options options;
    options.timeout = 10s;
    options.longestHold = 10s;
    PeerLink link(options, std::move(hooks));
    link.send(RaftReplica::Replica(), ControlMessages::AppendRequest());
    isFirstSent.get_future().wait();
    link.send(RaftReplica::Replica(), ControlMessages::AppendRequest());
    CATCH_REQUIRE(done.get_future().wait_for(10s) == std::future_status::ready);
    CATCH_CHECK(exchanges[0].call >= 40ms);
    CATCH_CHECK(exchanges[0].handling >= 20ms);
    CATCH_CHECK(exchanges[0].hasReply);
    CATCH_CHECK(exchanges[1].queued >= 55ms);
    CATCH_CHECK(exchanges[1].total() >= 115ms);
}

// Guards against a leader that loses its followers, since each heartbeat waits for the late reply to the one before.
CATCH_TEST_CASE("A follower that replies late shows the leader that it follows", "[control]")
{
    constexpr std::chrono::milliseconds electionTimeout = 600ms;
    std::mutex mutex;
    SteadyTime lastContact = std::chrono::steady_clock::now();
    PeerLink::Hooks hooks;
    hooks.call = [](const RaftReplica::Request &, std::chrono::milliseconds) {
        std::this_thread::sleep_for(400ms);
        return std::optional<RaftReplica::Reply>(ControlMessages::AppendReply());
    };
    hooks.handleReply = [&mutex, &lastContact](const RaftReplica::Replica &, const RaftReplica::Request &, SteadyTime sentAt, const RaftReplica::Reply &) {
        std::lock_guard<std::mutex> lock(mutex);
        lastContact = std::max(lastContact, sentAt);
    };
    PeerLink::Options options;
    options.timeout = electionTimeout;
    options.longestHold = 100ms;
    PeerLink link(options, std::move(hooks));
    SteadyTime::duration longest{0};
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        link.send(RaftReplica::Replica(), ControlMessages::AppendRequest());
        for (int check = 0; check < 10; ++check) {
            std::this_thread::sleep_for(10ms);
            std::lock_guard<std::mutex> lock(mutex);
            longest = std::max(longest, std::chrono::steady_clock::now() - lastContact);
        }
    }
    CATCH_CHECK(longest < electionTimeout);
}

// Guards against a link that still sends requests that newer ones have made obsolete, each with all entries that the peer lacks, while the newest waits.
CATCH_TEST_CASE("A request that waits for a late reply is replaced by a newer one", "[control]")
{
    std::mutex mutex;
    std::vector<std::uint64_t> sent;
    std::promise<void> isFirstSent;
    std::promise<void> mayReply;
    std::shared_future<void> reply = mayReply.get_future().share();
    std::promise<void> done;
    PeerLink::Hooks hooks;
    hooks.call = [&mutex, &sent, &isFirstSent, reply](const RaftReplica::Request &request, std::chrono::milliseconds) {
        bool isFirst = false;
        {
            std::lock_guard<std::mutex> lock(mutex);
            sent.push_back(std::get<ControlMessages::AppendRequest>(request).committed_index());
            isFirst = sent.size() == 1;
        }
        if (isFirst) {
            isFirstSent.set_value();
            reply.wait();
        }
        return std::optional<RaftReplica::Reply>(ControlMessages::AppendReply());
    };
    hooks.handleReply = [&done](const RaftReplica::Replica &, const RaftReplica::Request &request, SteadyTime, const RaftReplica::Reply &) {
        if (std::get<ControlMessages::AppendRequest>(request).committed_index() == 10) {
            done.set_value();
        }
    };
    PeerLink::Options options;
    options.timeout = 10s;
    options.longestHold = 10s;
    PeerLink link(options, std::move(hooks));
    for (std::uint64_t committed = 1; committed <= 10; ++committed) {
        ControlMessages::AppendRequest request;
        request.set_committed_index(committed);
        link.send(RaftReplica::Replica(), request);
        if (committed == 1) {
            isFirstSent.get_future().wait();
        }
    }
    mayReply.set_value();
    CATCH_REQUIRE(done.get_future().wait_for(10s) == std::future_status::ready);
    std::lock_guard<std::mutex> lock(mutex);
    CATCH_CHECK(sent == std::vector<std::uint64_t>{1, 10});
}
