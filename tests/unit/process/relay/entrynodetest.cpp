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
