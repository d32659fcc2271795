#include "process/relay/relayhub.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <functional>
#include <glog/logging.h>
#include <random>
#include <string>
#include <vector>

using namespace Hyssophall;

namespace {

constexpr std::size_t relays = 5;
constexpr std::size_t failureDomains = 6;
/// Instances, teams and requests per second for each VM, as in a fleet of 442 VMs with 432 instances.
constexpr double instancesPerVm = 1;
constexpr double teamsPerVm = 0.43;
constexpr double requestsPerVm = 2.5;
constexpr double failureShare = 0.1;
constexpr int measuredSeconds = 3;
/// The load is added in steps of this length.
constexpr std::chrono::milliseconds step{10};

/// One relay with its part of a fleet's VMs. There is no network and no thread: the time is simulated, and messages are taken from the buffers of
/// the streams when they are due.
class Relay
{
public:
    explicit Relay(std::size_t fleet)
        : fleet(fleet)
    {
        RelayHub::Options options;
        options.own.set_address("10.0.0.1:7000");
        options.own.set_failure_domain("domain-0");
        options.majority = 1;
        options.board.random = [this] { return this->generator(); };
        options.clock = [this] { return this->now; };
        options.rateWindow = std::chrono::seconds(5);
        RelayHub::Hooks hooks;
        hooks.isControlReplicaUpToDate = [] { return true; };
        hooks.peerFound = [](const std::shared_ptr<RelayPeer> &) {};
        this->hub = std::make_unique<RelayHub>(options, hooks);
        this->otherRelay = this->connectRelay();
        for (std::size_t number = 0; number < this->instanceCount(); ++number) {
            this->hub->publish(this->instance(number), false, SteadyTime());
        }
    }

    void arrive(std::size_t number)
    {
        RelayMessages::Update first;
        RelayMessages::Greeting &greeting = *first.mutable_greeting();
        greeting.set_vm("edge-westmoor-" + std::to_string(number));
        // Most VMs are of the relay's failure domain; one domain has no relay, so each relay serves a part of it.
        greeting.set_failure_domain(number % failureDomains == 0 ? "domain-5" : "domain-0");
        greeting.set_forwarding_host("10.1.0." + std::to_string(number % 250));
        greeting.set_forwarding_port(7000);
        this->vms.push_back(this->hub->connect(first));
    }

    void departLast()
    {
        this->hub->disconnect(this->vms.back());
        this->vms.pop_back();
    }

    /// Sends to each VM what is queued for it, whether it is due or not. Returns the bytes.
    std::size_t sendAll()
    {
        std::size_t bytes = 0;
        // As on a stream, each VM's messages use the same object.
        this->messages.resize(std::max(this->messages.size(), this->vms.size()));
        for (std::size_t number = 0; number < this->vms.size(); ++number) {
            const std::shared_ptr<RelaySubscriber> &vm = this->vms[number];
            RelayMessages::Update &message = this->messages[number];
            vm->buffer.nextMessage(message, SteadyTime(), {std::chrono::milliseconds(0), std::chrono::milliseconds(0)});
            this->hub->addStatus(*vm, message);
            bytes += message.ByteSizeLong();
        }
        return bytes;
    }

    /// One step of an ordinary load: this relay's VMs and the other relays report what their requests did.
    void addLoad(double requestsPerSecond, bool isOwn)
    {
        this->owed += requestsPerSecond * std::chrono::duration<double>(step).count();
        for (; this->owed >= 1; this->owed -= 1) {
            RelayMessages::Update update;
            RelayMessages::InstanceOutcomes &outcomes = *update.add_outcomes();
            outcomes.set_instance(InstanceTable::handleOf(this->instance(this->generator() % this->instanceCount())));
            outcomes.set_started(1);
            const bool fails = static_cast<double>(this->generator() % 1000) < 1000 * failureShare;
            outcomes.set_failed(fails ? 1 : 0);
            outcomes.set_succeeded(fails ? 0 : 1);
            RelayMessages::TeamUse &use = *update.add_teams();
            use.set_team("team-" + std::to_string(this->generator() % (1 + static_cast<std::size_t>(teamsPerVm * static_cast<double>(this->fleet)))));
            use.set_admitted(1);
            this->hub->receive(isOwn ? *this->vms[this->generator() % this->vms.size()] : *this->otherRelay, update);
        }
    }

    std::size_t instanceCount() const
    {
        return static_cast<std::size_t>(instancesPerVm * static_cast<double>(this->fleet));
    }

    SteadyTime now = std::chrono::steady_clock::now();
    std::unique_ptr<RelayHub> hub;
    std::vector<std::shared_ptr<RelaySubscriber>> vms;

private:
    std::shared_ptr<RelaySubscriber> connectRelay()
    {
        RelayMessages::Update first;
        first.mutable_greeting()->set_vm("10.0.0.2:7000");
        first.mutable_greeting()->set_relay_address("10.0.0.2:7000");
        return this->hub->connect(first);
    }

    RelayMessages::Registration instance(std::size_t number) const
    {
        RelayMessages::Registration registration;
        registration.set_id("i-" + std::to_string(number));
        registration.set_service("service-" + std::to_string(number % 3));
        registration.set_host("10.2." + std::to_string(number / 250) + "." + std::to_string(number % 250));
        registration.set_port(8080);
        registration.set_failure_domain("domain-" + std::to_string(number % failureDomains));
        registration.set_slots(3);
        registration.set_state(RelayMessages::REGISTRATION_STATE_READY);
        registration.set_started_at_milliseconds(1);
        registration.set_sequence(1);
        return registration;
    }

    const std::size_t fleet;
    std::mt19937_64 generator{7};
    std::shared_ptr<RelaySubscriber> otherRelay;
    std::deque<RelayMessages::Update> messages;
    double owed = 0;
};

double processorMicroseconds(const std::function<void()> &work)
{
    const std::clock_t began = std::clock();
    work();
    return 1e6 * static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
}

void measure(std::size_t fleet)
{
    const std::size_t vms = std::max<std::size_t>(2, fleet / relays);
    Relay relay(fleet);
    std::size_t bytes = 0;
    const double arrival = processorMicroseconds([&] {
        for (std::size_t number = 0; number < vms; ++number) {
            relay.arrive(number);
        }
        bytes = relay.sendAll();
    });
    std::printf("%5zu VMs, %4zu on the relay: arrival of all %7.0f us and %7zu bytes a VM", fleet, vms, arrival / static_cast<double>(vms), bytes / vms);
    const double departure = processorMicroseconds([&] {
        relay.departLast();
        relay.arrive(vms - 1);
        bytes = relay.sendAll();
    });
    std::printf("; one departure and return %7.0f us and %8zu bytes", departure, bytes);
    double perSecond = 0;
    std::size_t sent = 0;
    std::size_t messages = 0;
    const double fleetRequests = requestsPerVm * static_cast<double>(fleet);
    const double ownRequests = requestsPerVm * static_cast<double>(vms);
    const UpdateBuffer::BatchDelay delay = relay.hub->batchDelay(*relay.vms.back());
    perSecond = processorMicroseconds([&] {
        std::chrono::milliseconds passed(0);
        std::chrono::milliseconds sinceSent(0);
        while (passed < std::chrono::seconds(measuredSeconds)) {
            relay.addLoad(ownRequests, true);
            relay.addLoad(fleetRequests - ownRequests, false);
            relay.now += step;
            passed += step;
            sinceSent += step;
            if (sinceSent >= delay.urgent) {
                // Messages are as frequent as with an urgent update in each one.
                sent += relay.sendAll();
                messages += vms;
                sinceSent = std::chrono::milliseconds(0);
            }
        }
    }) / measuredSeconds;
    std::printf("; load: %5.1f %% of a core, %4.1f messages and %6.0f bytes a VM and second\n",
        perSecond / 1e4,
        static_cast<double>(messages) / static_cast<double>(vms) / measuredSeconds,
        static_cast<double>(sent) / static_cast<double>(vms) / measuredSeconds);
    std::fflush(stdout);
}

} // namespace

int main()
{
    // The relay logs each arrival.
    FLAGS_minloglevel = google::GLOG_WARNING;
    for (const std::size_t fleet : {48, 98, 300, 447, 1000, 4900}) {
        measure(fleet);
    }
    return 0;
}
