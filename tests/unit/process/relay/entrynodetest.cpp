#include "process/relay/entrynode.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

using namespace Hyssophall;

// Guards against a VM that crashes at its start, because the thread that greets relays uses the node before it is complete.
CATCH_TEST_CASE("A VM may greet a relay before its construction has ended", "[relay]")
{
    Settings settings;
    settings.vm.id = "vm-1";
    settings.vm.failureDomain = "a";
    settings.fleet.secret = "a secret of the tests";
    // Nobody listens there, so each link ends at once.
    settings.relay.seeds = {"127.0.0.1:1"};
    settings.listen.fleet.port = 1;
    settings.bounds.rateWindow = std::chrono::seconds(5);
    // Busy threads delay the constructing thread at any point.
    std::atomic<bool> isDone{false};
    std::vector<std::thread> busy;
    for (unsigned number = 0; number < 2 * std::thread::hardware_concurrency(); ++number) {
        busy.emplace_back([&isDone] {
            while (!isDone) { }
        });
    }
    for (int round = 0; round < 3000; ++round) {
        const std::unique_ptr<EntryNode> node = std::make_unique<EntryNode>(settings, std::chrono::steady_clock::now, [] { return std::uint64_t{1}; });
        CATCH_CHECK(!node->isServing());
    }
    isDone = true;
    for (std::thread &thread : busy) {
        thread.join();
    }
}

// Guards against refusals as poison that nobody can trace to the lost connections behind them.
CATCH_TEST_CASE("An entry VM names the instances and ages of the losses by which it judges a request", "[relay][poison]")
{
    Settings settings;
    settings.vm.id = "vm-1";
    settings.vm.failureDomain = "a";
    settings.fleet.secret = "a secret of the tests";
    settings.relay.seeds = {"127.0.0.1:1"};
    settings.listen.fleet.port = 1;
    settings.bounds.rateWindow = std::chrono::seconds(5);
    std::atomic<std::int64_t> milliseconds{1'000'000};
    const SteadyClock clock = [&milliseconds] { return SteadyTime(std::chrono::milliseconds(milliseconds)); };
    EntryNode node(settings, clock, [] { return std::uint64_t{1}; });
    for (const std::uint64_t incarnation : {1, 2, 3}) {
        CATCH_CHECK_FALSE(node.isPoison(7));
        CATCH_CHECK_FALSE(node.poisonSuspicion(7));
        milliseconds += 100;
        hyssophall::fleet::v1::Instance instance;
        instance.set_id("i-1");
        instance.set_incarnation(incarnation);
        node.finish(instance, TryOutcome::ConnectionLost, std::chrono::milliseconds(50), 7);
    }
    CATCH_CHECK_FALSE(node.isPoison(7));
    CATCH_CHECK(node.poisonSuspicion(7) == PoisonRequestDetector::settlingTime);
    milliseconds += PoisonRequestDetector::settlingTime.count();
    // Without a relay, the node doesn't hear of the responses that withdraw losses: the request isn't sent, and isn't refused for good either.
    CATCH_CHECK_FALSE(node.isPoison(7));
    CATCH_CHECK(node.poisonSuspicion(7) == std::chrono::milliseconds(500));
    const std::string details = node.describePoison(7);
    CATCH_CAPTURE(details);
    CATCH_CHECK(details.find(" round 1 age_ms=2200, ") != std::string::npos);
    CATCH_CHECK(details.find(" round 3 age_ms=2000") != std::string::npos);
    hyssophall::fleet::v1::Instance working;
    working.set_id("i-2");
    node.finish(working, TryOutcome::Answered, std::chrono::milliseconds(50), 7);
    CATCH_CHECK_FALSE(node.isPoison(7));
    CATCH_CHECK(node.describePoison(7).empty());
}
