#include "process/limits/fairqueue.h"

#include "process/limits/adaptivelimit.h"
#include "process/limits/faircapacity.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <random>
#include <thread>
#include <vector>

using namespace Hyssophall;
using namespace std::chrono_literals;

// Guards against a queue that serves teams by the number of their requests, so that a team that floods a service displaces the others.
CATCH_TEST_CASE("A team that sends ten times as much gets no larger share", "[fair-share]")
{
    FairQueue queue;
    std::map<FairQueue::Ticket, std::string> teamOf;
    std::map<std::string, int> served;
    for (int round = 0; round < 600; ++round) {
        for (int copy = 0; copy < 10; ++copy) {
            if (const std::optional<FairQueue::Ticket> ticket = queue.push("large", 1)) {
                teamOf[*ticket] = "large";
            }
        }
        if (const std::optional<FairQueue::Ticket> ticket = queue.push("small", 1)) {
            teamOf[*ticket] = "small";
        }
        ++served[teamOf[*queue.pop()]];
        ++served[teamOf[*queue.pop()]];
    }
    CATCH_REQUIRE(served["small"] >= 598);
}

// Guards against shares that drift away from the weights, by comparing with a proportional division.
CATCH_TEST_CASE("Shares follow the weights as a naive proportional division does", "[fair-share]")
{
    std::mt19937 generator(3);
    for (int run = 0; run < 20; ++run) {
        FairQueue queue;
        std::vector<double> weights;
        std::map<FairQueue::Ticket, std::size_t> teamOf;
        double totalWeight = 0;
        for (int team = 0; team < 5; ++team) {
            weights.push_back(static_cast<double>(1 + generator() % 8));
            totalWeight += weights.back();
        }
        std::vector<int> served(weights.size());
        constexpr int turns = 2000;
        for (int turn = 0; turn < turns; ++turn) {
            for (std::size_t team = 0; team < weights.size(); ++team) {
                if (const std::optional<FairQueue::Ticket> ticket = queue.push(std::to_string(team), weights[team])) {
                    teamOf[*ticket] = team;
                }
            }
            ++served[teamOf[*queue.pop()]];
        }
        for (std::size_t team = 0; team < weights.size(); ++team) {
            CATCH_REQUIRE(std::abs(served[team] - turns * weights[team] / totalWeight) <= 2);
        }
    }
}

// Guards against a team that blocks the others after an idle time, because its virtual time stayed behind.
CATCH_TEST_CASE("A team can't save up turns while it is idle", "[fair-share]")
{
    FairQueue queue;
    std::map<FairQueue::Ticket, std::string> teamOf;
    for (int turn = 0; turn < 1000; ++turn) {
        queue.charge("busy", 1);
    }
    for (int copy = 0; copy < 20; ++copy) {
        teamOf[*queue.push("busy", 1)] = "busy";
        teamOf[*queue.push("idle", 1)] = "idle";
    }
    std::map<std::string, int> served;
    for (int turn = 0; turn < 20; ++turn) {
        ++served[teamOf[*queue.pop()]];
    }
    CATCH_REQUIRE(served["busy"] >= 9);
}

// Guards against capacity that is given to a request whose caller has left at its deadline.
CATCH_TEST_CASE("Requests that gave up are never given a turn", "[fair-share]")
{
    FairQueue queue;
    const FairQueue::Ticket first = *queue.push("team", 1);
    const FairQueue::Ticket second = *queue.push("team", 1);
    queue.remove("team", first);
    CATCH_REQUIRE(queue.pop() == second);
    CATCH_REQUIRE(queue.empty());
    CATCH_REQUIRE_FALSE(queue.pop().has_value());
}

// Guards against a limit that doesn't follow overload, grows without load, or can't recover from its minimum.
CATCH_TEST_CASE("The limit shrinks when a service sheds load and grows only in use", "[fair-share]")
{
    SteadyTime now{1h};
    AdaptiveLimit limit(20);
    for (int round = 0; round < 100; ++round) {
        limit.recordResult(CapacitySignal::Answered, 2, now);
    }
    CATCH_REQUIRE(limit.limit() == Approx(20));
    for (int round = 0; round < 100; ++round) {
        now += 150ms;
        limit.recordResult(CapacitySignal::Overload, 20, now);
    }
    CATCH_REQUIRE(limit.limit() == Approx(AdaptiveLimit::minimum));
    limit.recordResult(CapacitySignal::Answered, 1, now);
    CATCH_REQUIRE(limit.limit() > AdaptiveLimit::minimum);
}

// Guards against a race of callers that exceeds the limit, and against a waiting caller that is never woken.
CATCH_TEST_CASE("Permits never exceed the limit and all waiters end", "[fair-share]")
{
    FairCapacity capacity({[] { return std::chrono::steady_clock::now(); }, [](const std::string &) { return 3.0; }});
    std::atomic<int> inFlight{0};
    std::atomic<int> most{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int index = 0; index < 16; ++index) {
        threads.emplace_back([&, index] {
            for (int request = 0; request < 50; ++request) {
                const std::unique_ptr<CapacityQueue::Permit> permit
                    = capacity.acquire("reads", "team-" + std::to_string(index % 4), 1, std::chrono::steady_clock::now() + 30s);
                const int present = ++inFlight;
                int seen = most;
                while (present > seen && !most.compare_exchange_weak(seen, present)) { }
                served += permit ? 1 : 0;
                --inFlight;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CATCH_REQUIRE(served == 800);
    CATCH_REQUIRE(most <= 3);
}
