#pragma once

#include "harness/ports.h"
#include "harness/testfleet.h"
#include "process/fleet/fleetserver.h"
#include "process/forwarding/forwardingnode.h"
#include "process/proxy/requesthandler.h"
#include "process/relay/entrynode.h"
#include "process/relay/relayhub.h"
#include "process/relay/relayservice.h"
#include "unit/process/proxy/requesthandlermocks.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace HyssophallTest {

/// The network between one VM and all instances: while it is partitioned, no connection can be established. Counts the runs of each request.
class SimulatedInstances : public Hyssophall::UpstreamSender
{
public:
    Hyssophall::UpstreamResult send(const Hyssophall::UpstreamCall &call) override
    {
        Hyssophall::UpstreamResult result;
        if (this->isPartitioned) {
            result.failure = Hyssophall::UpstreamFailure{Hyssophall::UpstreamFailureKind::ConnectFailed, false, false};
            return result;
        }
        result.connectionOpenedAt = std::chrono::steady_clock::now();
        if (call.mayBeSent && !call.mayBeSent()) {
            result.failure = Hyssophall::UpstreamFailure{Hyssophall::UpstreamFailureKind::RejectedBeforeSend, false, false};
            return result;
        }
        const std::string *order = Hyssophall::findHeader(call.request.headers, "X-Order");
        for (const Hyssophall::HttpHeader &header : call.request.headers) {
            this->sawKey = this->sawKey || header.value.find("red-key") != std::string::npos;
        }
        std::lock_guard<std::mutex> lock(this->mutex);
        this->arrivals[call.instance].push_back(std::chrono::steady_clock::now());
        if (this->respond) {
            result.response = this->respond(call.instance);
            return result;
        }
        ++this->runs[order == nullptr ? std::string() : *order];
        ++this->runsOnHost[call.host];
        result.response = Hyssophall::HttpResponse{200, {{"Content-Type", "text/plain"}}, "done"};
        return result;
    }

    int runsOf(const std::string &order)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->runs[order];
    }

    int runsOn(const std::string &host)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->runsOnHost[host];
    }

    /// Times of the requests that arrived at the instance with this id.
    std::vector<Hyssophall::SteadyTime> arrivalsAt(const std::string &instance)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->arrivals[instance];
    }

    /// Replaces the response of the instance with this id.
    void setResponse(std::function<Hyssophall::HttpResponse(const std::string &instance)> newRespond)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->respond = std::move(newRespond);
    }

    std::atomic<bool> isPartitioned{false};
    /// Whether a request had the caller's key in a header.
    std::atomic<bool> sawKey{false};

private:
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, int> runsOnHost;
    std::map<std::string, std::vector<Hyssophall::SteadyTime>> arrivals;
    std::function<Hyssophall::HttpResponse(const std::string &)> respond;
};

/// An entry VM with a connection to a relay, whose instances are simulated.
class ForwardingVm
{
public:
    ForwardingVm(const std::string &id, const std::string &host, const std::string &relayHost, int fleetPort)
        : settings(settingsOf(id, host, relayHost, fleetPort))
        , node(this->settings, std::chrono::steady_clock::now, [this] { return ++this->counter; })
        , forwarding(this->createForwarding())
        , handler({[this] { return this->lookup; },
                      this->lease,
                      this->limiter,
                      this->claims,
                      this->capacity,
                      this->node,
                      this->forwarding->sender(),
                      this->node.retries(),
                      std::chrono::steady_clock::now,
                      [this] { return ++this->counter; },
                      {&this->node}},
              {})
    {
    }

    Hyssophall::CallerResponse handle(const std::string &method, const std::string &target, const std::string &order = "")
    {
        Hyssophall::CallerRequest request;
        request.http = {method, target, {{"Authorization", "Bearer red-key"}, {"X-Order", order}}, ""};
        request.arrival = std::chrono::steady_clock::now();
        return this->handler.handle(request);
    }

    SimulatedInstances instances;
    std::shared_ptr<MockLookup> lookup = std::make_shared<MockLookup>();
    MockLease lease;
    MockLimiter limiter;
    MockClaims claims;
    MockCapacity capacity;
    std::atomic<std::uint64_t> counter{0};
    const Hyssophall::Settings settings;
    Hyssophall::EntryNode node;
    std::unique_ptr<Hyssophall::ForwardingNode> forwarding;
    Hyssophall::RequestHandler handler;

private:
    std::unique_ptr<Hyssophall::ForwardingNode> createForwarding()
    {
        std::unique_ptr<Hyssophall::ForwardingNode> created;
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_ASSIGN(created,
                    Hyssophall::ForwardingNode::create(this->settings, this->node, this->instances, [this](const Hyssophall::InstancePathProbe::Address &) {
                        return !this->instances.isPartitioned;
                    }));
                return {};
            },
            [] { CATCH_FAIL("The VM's fleet port can't be opened"); });
        return created;
    }

    static Hyssophall::Settings settingsOf(const std::string &id, const std::string &host, const std::string &relayHost, int fleetPort)
    {
        Hyssophall::Settings settings;
        settings.vm.id = id;
        settings.vm.failureDomain = "a";
        settings.fleet.secret = "a secret of the tests";
        settings.listen.fleet = {host, static_cast<unsigned short>(fleetPort)};
        settings.relay.enabled = true;
        settings.relay.seeds = {relayHost + ":1"};
        settings.bounds.rateWindow = std::chrono::seconds(5);
        return settings;
    }
};

/// A relay with two entry VMs of failure domain "a", and a service with four instances there and eight on one host of "b".
struct ForwardingFleet {
    static constexpr int localInstances = 4;
    static constexpr int remoteInstances = 8;
    static constexpr const char *remoteHost = "10.0.0.9";

    ForwardingFleet()
    {
        Hyssophall::RelayHub::Options options;
        options.own.set_address("127.0.0.21:" + std::to_string(this->fleetPort));
        options.own.set_failure_domain("a");
        options.board.random = [] { return 1; };
        options.clock = std::chrono::steady_clock::now;
        options.rateWindow = std::chrono::seconds(5);
        this->hub = std::make_unique<Hyssophall::RelayHub>(
            options, Hyssophall::RelayHub::Hooks{[] { return true; }, [](const std::shared_ptr<Hyssophall::RelayPeer> &) {}});
        this->relayService = std::make_unique<Hyssophall::RelayService>(*this->hub, "a secret of the tests", Hyssophall::RelayExchange::Timing());
        Hyssophall::FleetServer::Options serverOptions;
        serverOptions.address = options.own.address();
        serverOptions.secret = "a secret of the tests";
        serverOptions.otherServices = {&this->relayService->service()};
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_ASSIGN(this->server, Hyssophall::FleetServer::create(serverOptions, Hyssophall::FleetHandlers()));
                return {};
            },
            [] { CATCH_FAIL("The relay's port can't be opened"); });
        for (int number = 1; number <= localInstances; ++number) {
            this->addInstance("local-" + std::to_string(number), "10.0.0." + std::to_string(number), 80, "a");
        }
        for (int number = 1; number <= remoteInstances; ++number) {
            this->addInstance("remote-" + std::to_string(number), remoteHost, 80 + static_cast<std::uint32_t>(number), "b");
        }
        this->partitioned = std::make_unique<ForwardingVm>("vm-1", "127.0.0.22", "127.0.0.21", this->fleetPort);
        this->other = std::make_unique<ForwardingVm>("vm-2", "127.0.0.23", "127.0.0.21", this->fleetPort);
        for (ForwardingVm *vm : {this->partitioned.get(), this->other.get()}) {
            // A request that is refused for lack of an instance would make all VMs spread their requests for a second.
            CATCH_REQUIRE(Hyssophall::Harness::waitUntil(
                std::chrono::seconds(5), [vm] { return vm->node.uplink().visibleShare() > 0.9 && vm->node.describeInstance("remote-8") != "gone"; }));
            CATCH_REQUIRE(vm->handle("GET", "/read").http.status == 200);
        }
    }

    static Hyssophall::RelayMessages::Registration registrationOf(
        const std::string &id, const std::string &host, std::uint32_t port, const std::string &failureDomain)
    {
        Hyssophall::RelayMessages::Registration registration;
        registration.set_id(id);
        registration.set_service("service");
        registration.set_host(host);
        registration.set_port(port);
        registration.set_failure_domain(failureDomain);
        registration.set_slots(100);
        registration.set_state(Hyssophall::RelayMessages::REGISTRATION_STATE_READY);
        registration.set_started_at_milliseconds(1);
        registration.set_sequence(1);
        return registration;
    }

    void addInstance(const std::string &id, const std::string &host, std::uint32_t port, const std::string &failureDomain) const
    {
        this->hub->publish(registrationOf(id, host, port, failureDomain), false, Hyssophall::SteadyTime());
    }

    const int fleetPort = Hyssophall::Harness::findFreePort();
    std::unique_ptr<Hyssophall::RelayHub> hub;
    std::unique_ptr<Hyssophall::RelayService> relayService;
    std::unique_ptr<Hyssophall::FleetServer> server;
    std::unique_ptr<ForwardingVm> partitioned;
    std::unique_ptr<ForwardingVm> other;
};

} // namespace HyssophallTest
