#include "process/relay/updatebuffer.h"

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include <thread>

using namespace Hyssophall;

namespace {

constexpr UpdateBuffer::BatchDelay immediately{std::chrono::milliseconds(0), std::chrono::milliseconds(0)};

} // namespace

// Guards against a buffer that grows without bound when the receiver is slow: each request of a busy fleet adds an update.
CATCH_TEST_CASE("Queued counts are summed, so the size of a message doesn't grow with its age", "[relay]")
{
    UpdateBuffer buffer;
    RelayMessages::Update update;
    RelayMessages::InstanceOutcomes &outcomes = *update.add_outcomes();
    outcomes.set_instance(7);
    outcomes.set_started(1);
    outcomes.set_succeeded(2);
    update.add_teams()->set_team("red");
    update.mutable_teams(0)->set_admitted(1);
    for (int count = 0; count < 1000; ++count) {
        buffer.add(update);
    }
    const std::uint64_t sequence = buffer.nextSequence();
    const RelayMessages::Update message = buffer.nextMessage(std::chrono::steady_clock::now(), immediately).value();
    CATCH_REQUIRE(message.outcomes_size() == 1);
    CATCH_CHECK(message.outcomes(0).started() == 1000);
    CATCH_CHECK(message.outcomes(0).succeeded() == 2000);
    CATCH_CHECK(message.teams(0).admitted() == 1000);
    CATCH_CHECK(message.sequence() == sequence);
    CATCH_CHECK(buffer.nextMessage(std::chrono::steady_clock::now(), immediately)->outcomes().empty());
    buffer.close();
    CATCH_CHECK_FALSE(buffer.nextMessage(std::chrono::steady_clock::now(), immediately));
}

// Guards against failures that are held back as long as other counts: meanwhile, other VMs go on sending requests to the failing instance.
CATCH_TEST_CASE("A failure is sent at once, together with the updates that were queued", "[relay]")
{
    UpdateBuffer buffer;
    const UpdateBuffer::BatchDelay batchDelay{std::chrono::milliseconds(1), std::chrono::seconds(60)};
    RelayMessages::Update success;
    success.add_outcomes()->set_succeeded(1);
    RelayMessages::Update failure;
    failure.add_outcomes()->set_failed(1);
    buffer.add(success);
    buffer.add(failure);
    const SteadyTime began = std::chrono::steady_clock::now();
    const RelayMessages::Update message = buffer.nextMessage(began + std::chrono::seconds(60), batchDelay).value();
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(30));
    CATCH_CHECK(message.outcomes(0).succeeded() == 1);
    CATCH_CHECK(message.outcomes(0).failed() == 1);
    CATCH_CHECK_FALSE(UpdateBuffer::isUrgent(success));
}

// Guards against messages that repeat the same few counts many times a second, because each failure anywhere sends all counts along.
CATCH_TEST_CASE("Counts that are held back stay until their delay is over, and urgent updates don't wait for them", "[relay][large-fleet]")
{
    UpdateBuffer buffer(UpdateBuffer::Counts::HeldBack);
    const UpdateBuffer::BatchDelay batchDelay{std::chrono::milliseconds(1), std::chrono::milliseconds(5), std::chrono::seconds(60)};
    RelayMessages::Update counts;
    counts.add_outcomes()->set_instance(1);
    counts.mutable_outcomes(0)->set_succeeded(1);
    RelayMessages::TeamUse &use = *counts.add_teams();
    use.set_team("red");
    use.set_admitted(1);
    RelayMessages::Update failure;
    failure.add_outcomes()->set_instance(2);
    failure.mutable_outcomes(0)->set_failed(1);
    buffer.add(counts);
    buffer.add(failure);
    const SteadyTime began = std::chrono::steady_clock::now();
    bool hasFailure = false;
    int admitted = 0;
    while ((!hasFailure || admitted == 0) && std::chrono::steady_clock::now() - began < std::chrono::seconds(20)) {
        const RelayMessages::Update message = buffer.nextMessage(std::chrono::steady_clock::now() + std::chrono::seconds(1), batchDelay).value();
        for (const RelayMessages::InstanceOutcomes &outcomes : message.outcomes()) {
            CATCH_CHECK(outcomes.instance() == 2);
            hasFailure = true;
        }
        admitted += message.teams().empty() ? 0 : static_cast<int>(message.teams(0).admitted());
    }
    CATCH_CHECK(hasFailure);
    CATCH_CHECK(admitted == 1);
    // A heartbeat isn't delayed by counts that are held back.
    buffer.add(counts);
    const UpdateBuffer::BatchDelay longDelay{std::chrono::milliseconds(1), std::chrono::seconds(60), std::chrono::seconds(60)};
    const SteadyTime heartbeatDue = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    CATCH_CHECK(buffer.nextMessage(heartbeatDue, longDelay)->outcomes().empty());
    CATCH_CHECK(std::chrono::steady_clock::now() - heartbeatDue < std::chrono::seconds(20));
    // Once a failure of the same instance is sent, its counts go along, so that their order is kept.
    failure.mutable_outcomes(0)->set_instance(1);
    buffer.add(failure);
    const RelayMessages::Update message = buffer.nextMessage(std::chrono::steady_clock::now(), batchDelay).value();
    CATCH_REQUIRE(message.outcomes_size() == 1);
    CATCH_CHECK(message.outcomes(0).succeeded() == 2);
    CATCH_CHECK(message.outcomes(0).failed() == 1);
}

// Guards against a limit of an instance that is lost or outlasts its end when messages are merged.
CATCH_TEST_CASE("Of several limits of an instance, the latest is sent", "[relay][load-shedding]")
{
    UpdateBuffer buffer;
    RelayMessages::Update update;
    RelayMessages::InstanceOutcomes &outcomes = *update.add_outcomes();
    outcomes.set_instance(7);
    outcomes.set_limit_thousandths(3400);
    CATCH_CHECK(UpdateBuffer::isUrgent(update));
    buffer.add(update);
    outcomes.set_limit_thousandths(0);
    outcomes.set_started(1);
    buffer.add(update);
    RelayMessages::Update message = buffer.nextMessage(SteadyTime(), {}).value();
    CATCH_CHECK(message.outcomes(0).limit_thousandths() == 3400);
    outcomes.set_limit_thousandths(3400);
    buffer.add(update);
    outcomes.set_limit_thousandths(0);
    outcomes.set_limit_ended(true);
    buffer.add(update);
    message = buffer.nextMessage(SteadyTime(), {}).value();
    CATCH_CHECK(message.outcomes(0).limit_thousandths() == 0);
    CATCH_CHECK(message.outcomes(0).limit_ended());
}

// Guards against a relay that wakes a thread for each of its VMs with each update, hundreds of times a second, instead of once for each message.
CATCH_TEST_CASE("The thread that sends is woken for a message and not for each update", "[relay][large-fleet]")
{
    UpdateBuffer buffer(UpdateBuffer::Counts::HeldBack);
    constexpr std::chrono::milliseconds batch(200);
    constexpr int updates = 20000;
    std::uint32_t received = 0;
    std::thread sender([&buffer, &received, batch] {
        while (received < updates) {
            const std::optional<RelayMessages::Update> message = buffer.nextMessage(std::chrono::steady_clock::now() + std::chrono::seconds(5), {batch, batch});
            if (!message || message->outcomes().empty()) {
                return;
            }
            received += message->outcomes(0).failed();
        }
    });
    RelayMessages::Update failure;
    failure.add_outcomes()->set_failed(1);
    rusage before{};
    rusage after{};
    getrusage(RUSAGE_SELF, &before);
    for (int number = 0; number < updates; ++number) {
        buffer.add(failure);
        if (number % 20 == 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        }
    }
    sender.join();
    getrusage(RUSAGE_SELF, &after);
    CATCH_CHECK(received == updates);
    // The loop above sleeps 1,000 times. A sender that is woken for each update adds as many switches again.
    CATCH_CHECK(after.ru_nvcsw - before.ru_nvcsw < 1500);
}
