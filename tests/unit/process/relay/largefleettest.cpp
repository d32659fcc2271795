#include "process/relay/relayhub.h"

#include "unit/process/relay/registrations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace Hyssophall;
using HyssophallTest::registrationOf;

namespace {

/// Bytes of control traffic that a node may receive per second (docs/CAPACITY.md, the target).
constexpr std::size_t bytesPerSecond = 11 * 1024;
constexpr std::size_t largestFleet = 800;
/// VMs of one failure domain at the target: 4,900 in 14.
constexpr std::size_t failureDomainSize = 350;
constexpr std::size_t failureDomains = 4;

/// One relay with any number of VMs. There is no network and no thread: messages are taken from the buffers of the streams.
class LargeFleet
{
public:
    explicit LargeFleet(std::size_t size)
    {
        RelayHub::Options options;
        options.own.set_address("10.0.0.1:7000");
        options.own.set_failure_domain("domain-0");
        options.majority = 1;
        options.board.random = [this] { return this->generator(); };
        options.clock = [this] { return this->now; };
        RelayHub::Hooks hooks;
        hooks.isControlReplicaUpToDate = [] { return true; };
        hooks.peerFound = [](const std::shared_ptr<RelayPeer> &) {};
        this->hub = std::make_unique<RelayHub>(options, hooks);
        for (std::size_t number = 0; number < size; ++number) {
            this->arrive(number);
        }
    }

    void arrive(std::size_t number)
    {
        RelayMessages::Update first;
        RelayMessages::Greeting &greeting = *first.mutable_greeting();
        greeting.set_vm("edge-westmoor-" + std::to_string(number));
        greeting.set_failure_domain("domain-" + std::to_string(number % failureDomains));
        greeting.set_forwarding_host("10.1.0." + std::to_string(number % 250));
        greeting.set_forwarding_port(7000);
        this->vms.push_back(this->hub->connect(first));
    }

    /// The largest number of bytes that a VM gets in its next message.
    std::size_t largestMessage()
    {
        std::size_t largest = 0;
        for (const std::shared_ptr<RelaySubscriber> &vm : this->vms) {
            const std::chrono::milliseconds none(0);
            largest = std::max(largest, vm->buffer.nextMessage(SteadyTime(), {none, none}).value().ByteSizeLong());
        }
        return largest;
    }

    SteadyTime now = std::chrono::steady_clock::now();
    std::mt19937_64 generator{7};
    std::unique_ptr<RelayHub> hub;
    std::vector<std::shared_ptr<RelaySubscriber>> vms;
};

/// Shortest time of one call of RelayHub::status() out of several rounds.
std::chrono::duration<double> statusDuration(LargeFleet &fleet)
{
    constexpr int calls = 50;
    std::chrono::duration<double> shortest = std::chrono::hours(1);
    for (int round = 0; round < 10; ++round) {
        const SteadyTime began = std::chrono::steady_clock::now();
        for (int call = 0; call < calls; ++call) {
            CATCH_REQUIRE(fleet.hub->status().visible_vms() == fleet.vms.size());
        }
        shortest = std::min<std::chrono::duration<double>>(shortest, (std::chrono::steady_clock::now() - began) / calls);
    }
    return shortest;
}

} // namespace

// Guards against a fleet that can't start because each VM that connects is reported to all others: the messages then grow with the square of the
// fleet, and the relays have no processor time left for the control group.
CATCH_TEST_CASE("A VM gets no more than its share of bytes when the whole fleet arrives at once", "[relay][large-fleet]")
{
    for (const std::size_t size : {std::size_t(50), std::size_t(200), largestFleet}) {
        LargeFleet fleet(size);
        CATCH_CAPTURE(size);
        CATCH_CHECK(fleet.largestMessage() <= bytesPerSecond);
    }
}

// Guards against the loss of a failure domain that overloads the VMs that are left with reports of it.
CATCH_TEST_CASE("A VM gets no more than its share of bytes when a failure domain is lost and returns", "[relay][large-fleet]")
{
    LargeFleet fleet(largestFleet);
    fleet.largestMessage();
    for (std::size_t number = 0; number < failureDomainSize; ++number) {
        fleet.hub->disconnect(fleet.vms.back());
        fleet.vms.pop_back();
    }
    CATCH_CHECK(fleet.largestMessage() <= bytesPerSecond);
    CATCH_CHECK(fleet.hub->status().visible_vms() == largestFleet - failureDomainSize);
    CATCH_CHECK(fleet.hub->status().known_vms() == largestFleet);
    for (std::size_t number = 0; number < failureDomainSize; ++number) {
        fleet.arrive(largestFleet - failureDomainSize + number);
    }
    CATCH_CHECK(fleet.largestMessage() <= bytesPerSecond);
    CATCH_CHECK(fleet.hub->status().known_vms() == largestFleet);
}

// Guards against a relay that counts the whole fleet anew under its lock for each message to each VM.
CATCH_TEST_CASE("What a message's status costs doesn't grow with the fleet", "[relay][large-fleet]")
{
    LargeFleet small(largestFleet / 16);
    LargeFleet large(largestFleet);
    // A cost that grows with the fleet would be 16 times as high.
    CATCH_CHECK(statusDuration(large) < 4 * statusDuration(small));
}

// Guards against full messages at each failure anywhere: with hundreds of VMs there is one in each few milliseconds.
CATCH_TEST_CASE("With more VMs, a relay collects updates for longer, and longest for VMs of other failure domains", "[relay][large-fleet]")
{
    LargeFleet small(8);
    LargeFleet large(largestFleet);
    // The first VM is of the relay's own failure domain, the second one isn't.
    CATCH_CHECK(small.hub->batchDelay(*small.vms[0]).urgent <= std::chrono::milliseconds(10));
    CATCH_CHECK(large.hub->batchDelay(*large.vms[0]).urgent >= std::chrono::milliseconds(400));
    CATCH_CHECK(large.hub->batchDelay(*large.vms[1]).urgent > large.hub->batchDelay(*large.vms[0]).urgent);
    CATCH_CHECK(*large.hub->batchDelay(*large.vms[1]).outcomes > *large.hub->batchDelay(*large.vms[0]).outcomes);
}
