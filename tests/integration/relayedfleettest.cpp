#include "integration/relayedfleet.h"
#include "process/hooks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

using namespace Hyssophall;
using namespace std::chrono_literals;
using HyssophallTest::RawConnection;
using HyssophallTest::RawUpstream;
using HyssophallTest::RelayedFleet;

namespace {

/// An instance that keeps the times of its requests and may name a limit in its responses, in requests per second.
class LimitedUpstream
{
public:
    explicit LimitedUpstream(std::chrono::milliseconds duration)
        : upstream([this, duration](RawConnection &connection, const std::string &) {
            std::string headers = "X-Response-Signature: signed\r\n";
            {
                std::lock_guard<std::mutex> lock(this->mutex);
                this->times.push_back(std::chrono::steady_clock::now());
                headers += this->limit.empty() ? "" : "Hyssophall-Request-Limit: " + this->limit + "\r\n";
            }
            std::this_thread::sleep_for(duration);
            connection.write(RawUpstream::answer("ok", headers));
        })
    {
    }

    void setLimit(const std::string &newLimit)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->limit = newLimit;
    }

    /// Largest number of requests in any four seconds of the time after @p from.
    std::size_t mostInFourSeconds(SteadyTime from) const
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::size_t most = 0;
        for (std::size_t first = 0; first < this->times.size(); ++first) {
            if (this->times[first] >= from) {
                most = std::max(most,
                    static_cast<std::size_t>(std::count_if(this->times.begin() + static_cast<std::ptrdiff_t>(first),
                        this->times.end(),
                        [this, first](SteadyTime time) { return time - this->times[first] < 4s; })));
            }
        }
        return most;
    }

    std::uint16_t port() const
    {
        return this->upstream.port();
    }

private:
    mutable std::mutex mutex;
    std::string limit;
    std::vector<SteadyTime> times;
    RawUpstream upstream;
};

/// Checks that a key which the VM's configuration lacks isn't served, and isn't denied for good while nobody can tell whether that configuration is the newest.
void requireUnprovenKeyRefused(RelayedFleet &fleet, const std::string &key)
{
    const std::size_t requestsBefore = fleet.upstream.requests().size();
    const Harness::HttpResponse response = fleet.call(0, key);
    CATCH_CHECK(response.status == 503);
    CATCH_CHECK(response.header("hyssophall-refusal") == "vm_isolated");
    CATCH_CHECK(response.header("hyssophall-outcome") == "not-run");
    CATCH_CHECK(response.header("retry-after") == "1");
    CATCH_CHECK(fleet.upstream.requests().size() == requestsBefore);
}

} // namespace

// Guards against a whole path that works only with an operator's help, and against keys or teams that cross to the wrong side.
CATCH_TEST_CASE("A relayed fleet forms itself, serves, and keeps its configuration through lost control VMs", "[integration][relay][config-in-force]")
{
    RelayedFleet fleet;
    CATCH_REQUIRE(fleet.call(0, "key-1").status != 404);
    CATCH_REQUIRE(fleet.putConfiguration(4, "key-1", {0, 1, 2}));
    CATCH_REQUIRE(fleet.registerUpstream(1, "ready", 1) == 200);
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key-1", 200); }));
    CATCH_CHECK(fleet.call(0, "key-1").header("x-response-signature") == "signed");
    CATCH_CHECK(fleet.call(0, "key-2").status == 401);
    CATCH_CHECK(fleet.call(0, "key-1", "b.example").status == 404);
    const std::string request = fleet.upstream.requests().back();
    CATCH_CHECK(request.find("X-Tenant: red\r\n") != std::string::npos);
    CATCH_CHECK(request.find("X-Target-Instance: i-1\r\n") != std::string::npos);
    CATCH_CHECK(request.find("X-Request-Id: request-1\r\n") != std::string::npos);
    CATCH_CHECK(request.find("key-1") == std::string::npos);

    // One control VM is lost; a change of the key goes on and holds everywhere.
    fleet.kill(0);
    CATCH_REQUIRE(fleet.putConfiguration(9, "key-9", {1, 2}));
    CATCH_REQUIRE(Harness::waitUntil(2s, [&fleet] { return fleet.answersEverywhere("key-9", 200) && fleet.answersEverywhere("key-1", 401); }));
    CATCH_REQUIRE(Harness::waitUntil(5s, [&fleet] { return fleet.control(1, "GET", "/v1/config").body == fleet.document; }));

    // It comes back with an empty disk and another one is lost right after: nothing accepted is forgotten.
    fleet.wipeDisk(0);
    fleet.start(0, false);
    CATCH_REQUIRE(Harness::waitUntil(15s, [&fleet] { return fleet.control(0, "GET", "/v1/config").body == fleet.document; }));
    std::this_thread::sleep_for(2s);
    fleet.kill(1);
    CATCH_REQUIRE(Harness::waitUntil(15s, [&fleet] { return fleet.control(0, "GET", "/v1/config").body == fleet.document; }));
    CATCH_REQUIRE(fleet.putConfiguration(12, "key-12", {0, 2}));
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key-12", 200); }));
}

// Guards against an outage that lasts until a leader is elected: what was in force can be served before that.
CATCH_TEST_CASE("A fleet that was killed as a whole serves its last configuration before it has a leader", "[integration][relay][config-in-force]")
{
    RelayedFleet fleet;
    CATCH_REQUIRE(fleet.putConfiguration(4, "key-4", {0, 1, 2}));
    CATCH_REQUIRE(fleet.registerUpstream(1, "ready", 1) == 200);
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key-4", 200); }));
    std::this_thread::sleep_for(1s);
    for (int number = 0; number < RelayedFleet::controls + RelayedFleet::entries; ++number) {
        fleet.kill(number);
    }
    // Alone, a control VM has no leader.
    fleet.start(2, false);
    fleet.start(RelayedFleet::controls, false);
    CATCH_REQUIRE(Harness::waitUntil(5s, [&fleet] { return fleet.registerUpstream(2, "ready", 2) == 200; }));
    CATCH_REQUIRE(Harness::waitUntil(5s, [&fleet] { return fleet.call(0, "key-4").status == 200; }));
    CATCH_CHECK(fleet.control(2, "GET", "/v1/config").status == 503);
    requireUnprovenKeyRefused(fleet, "key-5");
}

// Guards against an older configuration in force after a loss of all processes right behind an acknowledgement.
CATCH_TEST_CASE("A control VM serves what it has just acknowledged when all are killed and it starts alone", "[integration][relay][config-in-force]")
{
    RelayedFleet fleet;
    CATCH_REQUIRE(fleet.putConfiguration(4, "key-4", {0, 1, 2}));
    CATCH_REQUIRE(fleet.registerUpstream(1, "ready", 1) == 200);
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key-4", 200); }));
    CATCH_REQUIRE(fleet.putConfiguration(9, "key-9", {2}));
    for (int number = 0; number < RelayedFleet::controls + RelayedFleet::entries; ++number) {
        fleet.kill(number);
    }
    fleet.start(2, false);
    fleet.start(RelayedFleet::controls, false);
    CATCH_REQUIRE(Harness::waitUntil(5s, [&fleet] { return fleet.registerUpstream(2, "ready", 2) == 200; }));
    CATCH_CHECK(Harness::waitUntil(5s, [&fleet] { return fleet.call(0, "key-9").status == 200; }));
    requireUnprovenKeyRefused(fleet, "key-4");
}

// Guards against an acknowledged drain after which requests still reach the instance, and an acknowledgement that nobody else has heard.
CATCH_TEST_CASE("A draining instance is acknowledged by a majority alone and gets no requests from any VM", "[integration][relay][leaving-upstream]")
{
    RelayedFleet fleet;
    CATCH_REQUIRE(fleet.putConfiguration(1, "key", {0, 1, 2}));
    CATCH_REQUIRE(fleet.registerUpstream(0, "ready", 1) == 200);
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key", 200); }));
    CATCH_REQUIRE(fleet.registerUpstream(2, "draining", 2) == 200);
    CATCH_REQUIRE(Harness::waitUntil(2s, [&fleet] { return fleet.answersEverywhere("key", 503); }));
    const std::size_t arrived = fleet.upstream.requests().size();
    CATCH_CHECK(fleet.answersEverywhere("key", 503));
    CATCH_CHECK(fleet.upstream.requests().size() == arrived);
    // A late message of before the drain changes nothing.
    CATCH_CHECK(fleet.registerUpstream(1, "ready", 1) == 200);
    CATCH_CHECK(fleet.answersEverywhere("key", 503));
    fleet.kill(0);
    fleet.kill(1);
    CATCH_CHECK(fleet.registerUpstream(2, "draining", 3) == 503);
}

// Guards against instances that are in use again after a loss of all processes right behind an acknowledged leave, when no VM has heard of it yet, and
// against a registration from before the leave that arrives after the restart.
CATCH_TEST_CASE("An acknowledged leave holds after all processes were killed", "[integration][relay][leaving-upstream][restart]")
{
    RelayedFleet fleet;
    CATCH_REQUIRE(fleet.putConfiguration(1, "key", {0, 1, 2}));
    CATCH_REQUIRE(fleet.registerUpstream(0, "ready", 2) == 200);
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key", 200); }));
    CATCH_REQUIRE(fleet.control(2, "DELETE", "/v1/instances/i-1").status == 200);
    for (int number = 0; number < RelayedFleet::controls + RelayedFleet::entries; ++number) {
        fleet.kill(number);
    }
    for (int number = 0; number < RelayedFleet::controls + RelayedFleet::entries; ++number) {
        fleet.start(number, false);
    }
    CATCH_REQUIRE(Harness::waitUntil(10s, [&fleet] { return fleet.registerUpstream(0, "ready", 1) == 200; }));
    CATCH_REQUIRE(Harness::waitUntil(10s, [&fleet] { return fleet.answersEverywhere("key", 503); }));
    std::this_thread::sleep_for(1s);
    CATCH_CHECK(fleet.answersEverywhere("key", 503));
}

// Guards against a control VM that ends its process, with success, because its disk failed for a while.
CATCH_TEST_CASE("A control VM whose disk failed for a while takes part again without a new process", "[integration][relay][config-in-force]")
{
    RelayedFleet fleet;
    CATCH_REQUIRE(fleet.putConfiguration(4, "key-4", {0, 1, 2}));
    CATCH_REQUIRE(fleet.registerUpstream(1, "ready", 1) == 200);
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key-4", 200); }));
    fleet.blockDisk(2);
    CATCH_REQUIRE(fleet.putConfiguration(9, "key-9", {0, 1}));
    CATCH_REQUIRE(Harness::waitUntil(5s, [&fleet] { return fleet.log(2).find("control replica stopped") != std::string::npos; }));
    // Long enough for a process that ends itself ten seconds after its start.
    std::this_thread::sleep_for(11s);
    CATCH_CHECK(fleet.answersEverywhere("key-9", 200));
    fleet.unblockDisk(2);
    CATCH_REQUIRE(Harness::waitUntil(15s, [&fleet] { return fleet.control(2, "GET", "/v1/config").body == fleet.document; }));
    CATCH_CHECK(fleet.isRunning(2));
    // Without another one, its vote is needed.
    fleet.kill(0);
    CATCH_CHECK(fleet.putConfiguration(12, "key-12", {1, 2}));
    CATCH_CHECK(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key-12", 200); }));
    CATCH_CHECK(fleet.isRunning(2));
}

// Guards against control VMs that have just started, take the few VMs they have seen for the fleet, and let each have a large part of the limits.
CATCH_TEST_CASE("A control VM that starts alone knows how many VMs the fleet had", "[integration][relay][fleet-limit]")
{
    RelayedFleet fleet;
    CATCH_REQUIRE(fleet.putConfiguration(1, "key", {0, 1, 2}));
    CATCH_REQUIRE(Harness::waitUntil(5s, [&fleet] { return fleet.tells(2, "hyssophall_known_vms 2"); }));
    // The copy is written within some fractions of a second.
    std::this_thread::sleep_for(1s);
    for (int number = 0; number < RelayedFleet::controls + RelayedFleet::entries; ++number) {
        fleet.kill(number);
    }
    fleet.start(2, false);
    CATCH_CHECK(Harness::waitUntil(5s, [&fleet] { return fleet.tells(2, "hyssophall_known_vms 2"); }));
    CATCH_CHECK(fleet.tells(2, "hyssophall_visible_vms 0"));
}

// Guards against an instance in need that gets several times the requests that it takes, because VMs ignore the limit that it names or count alone.
CATCH_TEST_CASE("An instance that names a limit gets no more than that over all VMs, and others serve the rest", "[integration][relay][load-shedding]")
{
    RelayedFleet fleet;
    LimitedUpstream limited(1ms);
    LimitedUpstream other(150ms);
    CATCH_REQUIRE(fleet.putConfiguration(4, "key-1", {0, 1, 2}));
    CATCH_REQUIRE(fleet.registerInstance(1, "i-1", limited.port(), "ready", 1) == 200);
    CATCH_REQUIRE(fleet.registerInstance(1, "i-2", other.port(), "ready", 1) == 200);
    CATCH_REQUIRE(Harness::waitUntil(3s, [&fleet] { return fleet.answersEverywhere("key-1", 200); }));
    // Eight callers keep the other instance busy, so that the limited one is the better choice whenever it takes a request.
    const auto callFor = [&fleet](SteadyTime::duration duration) {
        std::atomic<int> unserved{0};
        std::vector<std::thread> callers;
        for (int caller = 0; caller < 8; ++caller) {
            callers.emplace_back([&fleet, &unserved, caller, end = std::chrono::steady_clock::now() + duration] {
                while (std::chrono::steady_clock::now() < end) {
                    unserved += fleet.call(caller % RelayedFleet::entries, "key-1").status == 200 ? 0 : 1;
                    std::this_thread::sleep_for(100ms);
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        return unserved.load();
    };
    limited.setLimit("2");
    const SteadyTime inForce = std::chrono::steady_clock::now() + 3s;
    CATCH_CHECK(callFor(9s) == 0);
    // One and a half times the limit and 5 requests.
    CATCH_CHECK(limited.mostInFourSeconds(inForce) <= 17);
    // It is used up to its limit, and fully once its responses don't name the limit any more.
    CATCH_CHECK(limited.mostInFourSeconds(inForce) >= 4);
    limited.setLimit("");
    CATCH_CHECK(callFor(6s) == 0);
    CATCH_CHECK(limited.mostInFourSeconds(inForce) >= 25);
}
