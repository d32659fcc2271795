#include "process/relay/relayhub.h"

#include "unit/process/relay/registrations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace Hyssophall;
using HyssophallTest::registrationOf;

namespace {

using Milliseconds = std::chrono::milliseconds;

const std::string firstAddress = "10.0.0.1:7000";
const std::string secondAddress = "10.0.0.2:7000";

RelayMessages::Update nextMessage(UpdateBuffer &buffer)
{
    return buffer.nextMessage(std::chrono::steady_clock::now(), {Milliseconds(0), Milliseconds(0)}).value();
}

InstanceSelector::Options selectorOptions()
{
    InstanceSelector::Options options;
    options.random = [] { return 1; };
    return options;
}

/// A relay with a link to the other one, on which updates wait until the test delivers them.
class Relay
{
public:
    Relay(const std::string &address, const std::string &other, const SteadyTime &now)
    {
        RelayHub::Options options;
        options.own.set_address(address);
        options.board = selectorOptions();
        options.clock = [&now] { return now; };
        RelayHub::Hooks hooks;
        hooks.isControlReplicaUpToDate = [] { return true; };
        hooks.peerFound = [this](const std::shared_ptr<RelayPeer> &peer) { this->peer = peer; };
        this->hub = std::make_unique<RelayHub>(options, hooks);
        RelayMessages::RelayAddress relay;
        relay.set_address(other);
        this->hub->addRelay(relay);
    }

    void connectTo(Relay &other)
    {
        this->receiver = &other;
        this->subscriber = other.hub->connect(this->hub->peerGreeting(*this->peer));
        this->hub->receiveFromPeer(*this->peer, RelayMessages::Update());
    }

    void deliver()
    {
        this->receiver->hub->receive(*this->subscriber, nextMessage(this->peer->buffer));
    }

    std::unique_ptr<RelayHub> hub;

private:
    std::shared_ptr<RelayPeer> peer;
    Relay *receiver = nullptr;
    std::shared_ptr<RelaySubscriber> subscriber;
};

/// A VM that counts the requests in flight on one instance.
class Vm
{
public:
    Vm(std::string name, std::uint32_t instance, const SteadyTime &now)
        : name(std::move(name))
        , instance(instance)
        , now(now)
        , board(selectorOptions())
    {
    }

    void connect(RelayHub &hub)
    {
        this->board.beginConnection();
        RelayMessages::Update greeting;
        greeting.mutable_greeting()->set_vm(this->name);
        this->relay = &hub;
        this->subscriber = hub.connect(greeting);
    }

    void disconnect()
    {
        this->relay->disconnect(this->subscriber);
    }

    void start(std::uint32_t count)
    {
        RelayMessages::InstanceOutcomes outcomes;
        outcomes.set_started(count);
        this->report(outcomes);
    }

    void end(std::uint32_t count)
    {
        RelayMessages::InstanceOutcomes outcomes;
        outcomes.set_neutral(count);
        this->report(outcomes);
    }

    void receive()
    {
        const RelayMessages::Update update = nextMessage(this->subscriber->buffer);
        for (const RelayMessages::Registration &registration : update.registrations()) {
            this->board.apply(registration);
        }
        for (const RelayMessages::InstanceSummary &summary : update.summaries()) {
            this->board.apply(summary, this->now);
        }
        for (const RelayMessages::InstanceOutcomes &outcomes : update.outcomes()) {
            this->board.apply(outcomes, this->now);
        }
    }

    std::uint32_t inFlight() const
    {
        return this->board.summaries(this->now).at(0).in_flight();
    }

private:
    void report(RelayMessages::InstanceOutcomes &outcomes)
    {
        outcomes.set_instance(this->instance);
        this->board.applyOwn(outcomes, this->now);
        RelayMessages::Update update;
        *update.add_outcomes() = outcomes;
        this->relay->receive(*this->subscriber, update);
    }

    const std::string name;
    const std::uint32_t instance;
    const SteadyTime &now;
    InstanceSelector board;
    RelayHub *relay = nullptr;
    std::shared_ptr<RelaySubscriber> subscriber;
};

/// What can happen while a VM moves from the first relay to the second.
enum class Event {
    Start,
    End,
    Move,
    /// The VM receives what the second relay has sent.
    Receive,
    /// The first relay sends what it has held back.
    Deliver,
};

/// Two relays; a VM that moves, and one that stays at each relay.
struct Fleet {
    Fleet()
    {
        this->first.connectTo(this->second);
        this->second.connectTo(this->first);
        this->moving.connect(*this->first.hub);
        this->atFirst.connect(*this->first.hub);
        this->atSecond.connect(*this->second.hub);
        this->first.hub->publish(this->registration, false, SteadyTime());
        this->settle();
    }

    /// Delivers everything.
    void settle()
    {
        for (Relay *relay : {&this->first, &this->second}) {
            relay->deliver();
        }
        for (Vm *vm : {&this->moving, &this->atFirst, &this->atSecond}) {
            vm->receive();
        }
    }

    void play(Event event, std::uint32_t requests)
    {
        switch (event) {
        case Event::Start:
            this->moving.start(requests);
            break;
        case Event::End:
            this->moving.end(requests);
            break;
        case Event::Move:
            this->moving.disconnect();
            this->moving.connect(*this->second.hub);
            break;
        case Event::Receive:
            this->moving.receive();
            break;
        case Event::Deliver:
            this->first.deliver();
            break;
        }
        this->atFirst.receive();
        this->atSecond.receive();
        this->now += Milliseconds(30);
    }

    /// What a relay tells a VM that connects to it.
    std::uint32_t countOf(RelayHub &hub)
    {
        Vm vm("vm-new", InstanceTable::handleOf(this->registration), this->now);
        vm.connect(hub);
        vm.receive();
        vm.disconnect();
        return vm.inFlight();
    }

    SteadyTime now = std::chrono::steady_clock::now();
    const RelayMessages::Registration registration = registrationOf("i-1", 1, 1);
    Relay first{firstAddress, secondAddress, this->now};
    Relay second{secondAddress, firstAddress, this->now};
    Vm moving{"vm-1", InstanceTable::handleOf(this->registration), this->now};
    Vm atFirst{"vm-2", InstanceTable::handleOf(this->registration), this->now};
    Vm atSecond{"vm-3", InstanceTable::handleOf(this->registration), this->now};
};

std::string nameOf(const std::vector<Event> &order)
{
    std::string name;
    for (const Event event : order) {
        name += std::vector<std::string>{"start ", "end ", "move ", "receive ", "deliver "}.at(static_cast<std::size_t>(event));
    }
    return name;
}

/// Plays all orders of a VM's start, end and move and of the deliveries, beside other requests, and passes each fleet to @p check a second later.
void playAllOrders(const std::function<void(Fleet &, std::uint32_t ofOthers)> &check)
{
    std::vector<Event> order{Event::Start, Event::End, Event::Move, Event::Receive, Event::Deliver};
    const auto isBefore
        = [&order](Event first, Event second) { return std::find(order.begin(), order.end(), first) < std::find(order.begin(), order.end(), second); };
    int orders = 0;
    do {
        if (!isBefore(Event::Start, Event::End) || !isBefore(Event::Move, Event::Receive)) {
            continue;
        }
        ++orders;
        for (const std::uint32_t ofOthers : {0U, 1U, 3U}) {
            CATCH_CAPTURE(nameOf(order), ofOthers);
            Fleet fleet;
            fleet.atSecond.start(ofOthers);
            fleet.settle();
            for (const Event event : order) {
                fleet.play(event, 2);
            }
            // Load goes on for a second, so the true count is never zero unless there are no other requests.
            for (int round = 0; round < 20; ++round) {
                fleet.settle();
                fleet.atSecond.start(ofOthers);
                fleet.settle();
                fleet.atSecond.end(ofOthers);
                fleet.now += Milliseconds(50);
            }
            fleet.settle();
            check(fleet, ofOthers);
        }
    } while (std::next_permutation(order.begin(), order.end()));
    CATCH_CHECK(orders == 30);
}

} // namespace

// Guards against a VM that takes an instance for full from its move to another relay on, because it gets its own requests' starts back as another VM's.
CATCH_TEST_CASE("A VM that has moved between relays counts the requests in flight right", "[relay]")
{
    playAllOrders([](Fleet &fleet, std::uint32_t ofOthers) { CATCH_CHECK(fleet.moving.inFlight() == ofOthers); });
}

// Guards against VMs and relays that take an instance for full after another VM's move, because they hear of the ends of its requests before the starts.
CATCH_TEST_CASE("The others count the requests in flight right after a VM has moved between relays", "[relay]")
{
    playAllOrders([](Fleet &fleet, std::uint32_t ofOthers) {
        CATCH_CHECK(fleet.atFirst.inFlight() == ofOthers);
        CATCH_CHECK(fleet.atSecond.inFlight() == ofOthers);
        CATCH_CHECK(fleet.countOf(*fleet.first.hub) == ofOthers);
        CATCH_CHECK(fleet.countOf(*fleet.second.hub) == ofOthers);
    });
}
