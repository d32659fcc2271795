#include "process/relay/relayuplink.h"

#include "relay.grpc.pb.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t relaysVersion = 9;

/// A relay that sends only its status on the first stream, and sends its configuration on later streams.
class ForgetfulRelay : public RelayMessages::Relay::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext *context, grpc::ServerReaderWriter<RelayMessages::Update, RelayMessages::Update> *stream) override
    {
        const bool sendsConfiguration = this->streams++ > 0;
        RelayMessages::Update update;
        if (!stream->Read(&update)) {
            return grpc::Status::OK;
        }
        this->greeted = update.greeting().configuration_version();
        bool isFirst = true;
        while (!context->IsCancelled()) {
            RelayMessages::Update reported;
            reported.mutable_status()->set_current(true);
            reported.mutable_status()->set_known_vms(1);
            reported.mutable_status()->set_visible_vms(1);
            reported.mutable_status()->set_configuration_version(relaysVersion);
            if (sendsConfiguration && isFirst) {
                reported.mutable_configuration()->set_version(relaysVersion);
            }
            isFirst = false;
            if (!stream->Write(reported)) {
                break;
            }
            std::this_thread::sleep_for(50ms);
        }
        return grpc::Status::OK;
    }

    std::atomic<int> streams{0};
    std::atomic<std::uint64_t> greeted{0};
};

/// A relay that keeps sending messages to its VM, and confirms the VM's messages only while isConfirming is set.
class UnconfirmingRelay : public RelayMessages::Relay::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext *context, grpc::ServerReaderWriter<RelayMessages::Update, RelayMessages::Update> *stream) override
    {
        std::atomic<std::uint64_t> received{0};
        std::thread reader([stream, &received] {
            RelayMessages::Update update;
            while (stream->Read(&update)) {
                received = update.sequence();
            }
        });
        std::uint64_t confirmed = 0;
        while (!context->IsCancelled()) {
            confirmed = this->isConfirming ? received.load() : confirmed;
            RelayMessages::Update reported;
            reported.set_confirmed(confirmed);
            reported.mutable_status()->set_current(true);
            reported.mutable_status()->set_known_vms(4);
            reported.mutable_status()->set_visible_vms(4);
            if (!stream->Write(reported)) {
                break;
            }
            std::this_thread::sleep_for(20ms);
        }
        reader.join();
        return grpc::Status::OK;
    }

    std::atomic<bool> isConfirming{true};
};

/// A relay that keeps reporting that it isn't current, and counts the streams that it gets.
class NotCurrentRelay : public RelayMessages::Relay::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext *context, grpc::ServerReaderWriter<RelayMessages::Update, RelayMessages::Update> *stream) override
    {
        ++this->streams;
        RelayMessages::Update update;
        while (!context->IsCancelled()) {
            RelayMessages::Update reported;
            reported.mutable_status()->set_current(false);
            reported.mutable_status()->set_known_vms(1);
            if (!stream->Write(reported)) {
                break;
            }
            std::this_thread::sleep_for(50ms);
        }
        return grpc::Status::OK;
    }

    std::atomic<int> streams{0};
};

/// A relay that reports a version, stands still for longer than a VM waits for it, and then sends the configuration. Counts the streams that it gets.
class LateRelay : public RelayMessages::Relay::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext *context, grpc::ServerReaderWriter<RelayMessages::Update, RelayMessages::Update> *stream) override
    {
        ++this->streams;
        RelayMessages::Update reported;
        reported.mutable_status()->set_current(true);
        reported.mutable_status()->set_configuration_version(relaysVersion);
        stream->Write(reported);
        std::this_thread::sleep_for(1300ms);
        reported.mutable_configuration()->set_version(relaysVersion);
        while (!context->IsCancelled() && stream->Write(reported)) {
            std::this_thread::sleep_for(20ms);
        }
        return grpc::Status::OK;
    }

    std::atomic<int> streams{0};
};

/// Starts a server on @p port, or on a free one that it stores there if it is 0.
std::unique_ptr<grpc::Server> startRelay(grpc::Service &relay, int &port)
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:" + std::to_string(port), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&relay);
    std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    CATCH_REQUIRE(server != nullptr);
    return server;
}

RelayUplink::Options uplinkOptions(const std::vector<int> &ports)
{
    RelayUplink::Options options;
    for (const int port : ports) {
        options.seeds.push_back("127.0.0.1:" + std::to_string(port));
    }
    options.fleetSecret = "a secret of the tests";
    return options;
}

RelayUplink::Hooks uplinkHooks()
{
    RelayUplink::Hooks hooks;
    hooks.clock = std::chrono::steady_clock::now;
    hooks.random = [] { return std::uint64_t{1}; };
    hooks.makeGreeting = [](const std::function<void()> &) {
        RelayMessages::Update first;
        first.mutable_greeting()->set_vm("vm-1");
        return first;
    };
    hooks.receive = [](const RelayMessages::Update &) {};
    hooks.confirmed = [](std::uint64_t) {};
    hooks.recordVisibleShare = [](SteadyTime, SteadyTime, double) {};
    hooks.isConfigured = [] { return true; };
    hooks.configurationVersion = [] { return std::uint64_t{0}; };
    return hooks;
}

std::unique_ptr<RelayUplink> uplinkTo(const std::vector<int> &ports)
{
    return std::make_unique<RelayUplink>(uplinkOptions(ports), uplinkHooks());
}

/// A relay that keeps what its VM sends.
class RecordingRelay : public RelayMessages::Relay::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext *, grpc::ServerReaderWriter<RelayMessages::Update, RelayMessages::Update> *stream) override
    {
        RelayMessages::Update update;
        while (stream->Read(&update)) {
            {
                std::lock_guard<std::mutex> lock(this->mutex);
                this->received.push_back(update);
            }
            RelayMessages::Update reply;
            reply.set_confirmed(update.sequence());
            reply.mutable_status()->set_current(true);
            reply.mutable_status()->set_known_vms(4);
            reply.mutable_status()->set_visible_vms(4);
            stream->Write(reply);
        }
        return grpc::Status::OK;
    }

    std::vector<RelayMessages::Update> messages() const
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->received;
    }

private:
    mutable std::mutex mutex;
    std::vector<RelayMessages::Update> received;
};

/// A relay that refuses the first streams, as one does to which too many VMs connect at once.
class BusyRelay : public RelayMessages::Relay::Service
{
public:
    static constexpr std::chrono::milliseconds retryAfter{300};
    static constexpr std::size_t refusals = 3;

    grpc::Status Exchange(grpc::ServerContext *context, grpc::ServerReaderWriter<RelayMessages::Update, RelayMessages::Update> *stream) override
    {
        RelayMessages::Update update;
        stream->Read(&update);
        std::size_t arrival = 0;
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->arrivals.push_back(std::chrono::steady_clock::now());
            arrival = this->arrivals.size();
        }
        if (arrival <= refusals) {
            RelayMessages::Update refusal;
            refusal.set_retry_after_milliseconds(static_cast<std::uint32_t>(retryAfter.count()));
            stream->Write(refusal);
            return grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "busy");
        }
        RelayMessages::Update reply;
        reply.mutable_status()->set_current(true);
        while (!context->IsCancelled() && stream->Write(reply)) {
            std::this_thread::sleep_for(20ms);
        }
        return grpc::Status::OK;
    }

    std::vector<SteadyTime> arrivalTimes() const
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->arrivals;
    }

private:
    mutable std::mutex mutex;
    std::vector<SteadyTime> arrivals;
};

/// A VM that is connected to an UnconfirmingRelay.
struct UnconfirmingFixture {
    UnconfirmingFixture()
    {
        int port = 0;
        this->server = startRelay(this->relay, port);
        this->uplink = uplinkTo({port});
    }

    ~UnconfirmingFixture()
    {
        this->uplink.reset();
        this->server->Shutdown(std::chrono::system_clock::now());
    }

    UnconfirmingRelay relay;
    std::unique_ptr<grpc::Server> server;
    std::unique_ptr<RelayUplink> uplink;
};

/// Waits until @p condition holds, for 10 s at most; returns whether it does.
bool isMet(const std::function<bool()> &condition)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + 10s;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

} // namespace

// Guards against denying for good by a configuration that is older than the relay's, or by one of a relay that isn't current.
CATCH_TEST_CASE("A VM has the latest configuration only if its relay is current and knows no later one", "[relay][config-in-force]")
{
    std::atomic<std::uint64_t> ownVersion{relaysVersion - 1};
    int port = 0;
    ForgetfulRelay relay;
    const std::unique_ptr<grpc::Server> server = startRelay(relay, port);
    RelayUplink::Hooks hooks = uplinkHooks();
    hooks.configurationVersion = [&ownVersion] { return ownVersion.load(); };
    RelayUplink uplink(uplinkOptions({port}), hooks);
    CATCH_CHECK_FALSE(uplink.hasLatestConfiguration());
    CATCH_REQUIRE(isMet([&uplink] { return uplink.isCurrent(); }));
    CATCH_CHECK_FALSE(uplink.hasLatestConfiguration());
    ownVersion = relaysVersion;
    CATCH_CHECK(uplink.hasLatestConfiguration());
    server->Shutdown(std::chrono::system_clock::now());
    CATCH_CHECK(isMet([&uplink] { return !uplink.hasLatestConfiguration(); }));

    int otherPort = 0;
    NotCurrentRelay notCurrent;
    const std::unique_ptr<grpc::Server> otherServer = startRelay(notCurrent, otherPort);
    const std::unique_ptr<RelayUplink> other = uplinkTo({otherPort});
    CATCH_REQUIRE(isMet([&notCurrent] { return notCurrent.streams > 0; }));
    std::this_thread::sleep_for(200ms);
    CATCH_CHECK_FALSE(other->hasLatestConfiguration());
    otherServer->Shutdown(std::chrono::system_clock::now());
}

// Guards against VMs that report all of a window again at each move, since relays of an earlier build don't say what a majority of the relays has.
CATCH_TEST_CASE("What a relay of an earlier build confirms counts as known to a majority", "[relay][fleet-limit]")
{
    UnconfirmingRelay relay;
    int port = 0;
    const std::unique_ptr<grpc::Server> server = startRelay(relay, port);
    RelayUplink::Hooks hooks = uplinkHooks();
    std::atomic<std::uint64_t> replicated{0};
    hooks.replicated = [&replicated](std::uint64_t number, SteadyTime) { replicated = number; };
    {
        RelayUplink uplink(uplinkOptions({port}), hooks);
        CATCH_CHECK(isMet([&replicated] { return replicated > 1; }));
        relay.isConfirming = false;
        std::this_thread::sleep_for(100ms);
        const std::uint64_t last = replicated;
        std::this_thread::sleep_for(400ms);
        CATCH_CHECK(replicated == last);
    }
    server->Shutdown(std::chrono::system_clock::now());
}

// Guards against a VM that keeps an old configuration until its stream ends, because it missed the one message with the new one.
CATCH_TEST_CASE("A VM that lacks its relay's configuration reconnects and gets it", "[relay][config-in-force]")
{
    ForgetfulRelay relay;
    int port = 0;
    const std::unique_ptr<grpc::Server> server = startRelay(relay, port);

    std::atomic<std::uint64_t> version{4};
    RelayUplink::Options options;
    options.seeds = {"127.0.0.1:" + std::to_string(port)};
    options.fleetSecret = "a secret of the tests";
    RelayUplink::Hooks hooks;
    hooks.clock = std::chrono::steady_clock::now;
    hooks.random = [] { return std::uint64_t{1}; };
    hooks.makeGreeting = [&version](const std::function<void()> &) {
        RelayMessages::Update first;
        first.mutable_greeting()->set_vm("vm-1");
        first.mutable_greeting()->set_configuration_version(version);
        return first;
    };
    hooks.receive = [&version](const RelayMessages::Update &update) {
        if (update.has_configuration()) {
            version = update.configuration().version();
        }
    };
    hooks.confirmed = [](std::uint64_t) {};
    hooks.recordVisibleShare = [](SteadyTime, SteadyTime, double) {};
    hooks.isConfigured = [] { return true; };
    hooks.configurationVersion = [&version] { return version.load(); };
    {
        const RelayUplink uplink(options, hooks);
        const SteadyTime deadline = std::chrono::steady_clock::now() + 10s;
        while (version != relaysVersion && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(10ms);
        }
        CATCH_CHECK(version == relaysVersion);
        CATCH_CHECK(relay.greeted == 4);
        // Once the configuration is in force, the VM stays connected.
        const int streams = relay.streams;
        std::this_thread::sleep_for(1500ms);
        CATCH_CHECK(relay.streams == streams);
    }
    server->Shutdown(std::chrono::system_clock::now());
}

// Guards against a VM that ends the connection on which its configuration has just arrived.
CATCH_TEST_CASE("A VM stays with a relay whose message has the configuration that the VM lacks", "[relay][large-fleet]")
{
    LateRelay relay;
    int port = 0;
    const std::unique_ptr<grpc::Server> server = startRelay(relay, port);
    std::atomic<std::uint64_t> version{4};
    RelayUplink::Options options;
    options.seeds = {"127.0.0.1:" + std::to_string(port)};
    options.fleetSecret = "a secret of the tests";
    options.timing.silenceTimeout = 3s;
    RelayUplink::Hooks hooks;
    hooks.clock = std::chrono::steady_clock::now;
    hooks.random = [] { return std::uint64_t{1}; };
    hooks.makeGreeting = [](const std::function<void()> &) {
        RelayMessages::Update first;
        first.mutable_greeting()->set_vm("vm-1");
        return first;
    };
    hooks.receive = [&version](const RelayMessages::Update &update) { version = std::max<std::uint64_t>(version, update.configuration().version()); };
    hooks.confirmed = [](std::uint64_t) {};
    hooks.recordVisibleShare = [](SteadyTime, SteadyTime, double) {};
    hooks.isConfigured = [] { return true; };
    hooks.configurationVersion = [&version] { return version.load(); };
    {
        const RelayUplink uplink(options, hooks);
        CATCH_CHECK(isMet([&version] { return version == relaysVersion; }));
        std::this_thread::sleep_for(500ms);
        CATCH_CHECK(relay.streams == 1);
    }
    server->Shutdown(std::chrono::system_clock::now());
}

// Guards against an age that is reset by each message that arrives, even when the relay wrote the message long ago.
CATCH_TEST_CASE("The age of a VM's knowledge is that of its latest message that the relay has confirmed", "[relay][fleet-limit]")
{
    UnconfirmingFixture fixture;
    CATCH_CHECK(isMet([&fixture] { return fixture.uplink->knowledgeAge().has_value(); }));
    std::this_thread::sleep_for(600ms);
    CATCH_CHECK(fixture.uplink->knowledgeAge().value() < 500ms);
    fixture.relay.isConfirming = false;
    std::this_thread::sleep_for(700ms);
    CATCH_CHECK(fixture.uplink->knowledgeAge().value() >= 600ms);
}

// Guards against a VM that was suspended and takes the messages that its relay wrote during the pause for the present state of the fleet.
CATCH_TEST_CASE("A VM counts as partitioned while its relay confirms nothing, whatever arrives", "[relay][fleet-limit]")
{
    UnconfirmingFixture fixture;
    CATCH_CHECK(isMet([&fixture] { return fixture.uplink->visibleShare() == 1; }));
    fixture.relay.isConfirming = false;
    std::this_thread::sleep_for(700ms);
    CATCH_CHECK(fixture.uplink->visibleShare() == Approx(0.25));
    fixture.relay.isConfirming = true;
    CATCH_CHECK(isMet([&fixture] { return fixture.uplink->visibleShare() == 1; }));
}

// Guards against outcomes and counts of a partition that the other VMs take for new ones when they arrive after it.
CATCH_TEST_CASE("A VM that reconnects doesn't report the outcomes and uses that were queued while no relay was connected", "[relay][retries]")
{
    int port = 0;
    RecordingRelay former;
    std::unique_ptr<grpc::Server> server = startRelay(former, port);
    const std::unique_ptr<RelayUplink> uplink = uplinkTo({port});
    CATCH_REQUIRE(isMet([&former] { return former.messages().size() >= 2; }));
    server->Shutdown(std::chrono::system_clock::now());
    server.reset();
    CATCH_REQUIRE(isMet([&uplink] { return !uplink->isCurrent(); }));
    RelayMessages::Update update;
    RelayMessages::InstanceOutcomes &outcomes = *update.add_outcomes();
    outcomes.set_instance(7);
    outcomes.set_failed(1);
    RelayMessages::ServiceUse &use = *update.add_services();
    use.set_service("orders");
    use.set_requests(1);
    uplink->send(update);

    RecordingRelay later;
    server = startRelay(later, port);
    CATCH_REQUIRE(isMet([&later] { return later.messages().size() >= 3; }));
    for (const RelayMessages::Update &message : later.messages()) {
        CATCH_CHECK(message.outcomes().empty());
        CATCH_CHECK(message.services().empty());
    }
    // What is sent from then on arrives.
    uplink->send(update);
    CATCH_CHECK(isMet([&later] { return later.messages().back().outcomes_size() == 1; }));
    server->Shutdown(std::chrono::system_clock::now());
}

// Guards against VMs that come back to a busy relay at once and so keep it busy.
CATCH_TEST_CASE("A VM that a relay refuses comes back when the relay says", "[relay][large-fleet]")
{
    int port = 0;
    BusyRelay relay;
    const std::unique_ptr<grpc::Server> server = startRelay(relay, port);
    {
        const std::unique_ptr<RelayUplink> uplink = uplinkTo({port});
        CATCH_CHECK(isMet([&uplink] { return uplink->isCurrent(); }));
        const std::vector<SteadyTime> arrivals = relay.arrivalTimes();
        CATCH_REQUIRE(arrivals.size() == BusyRelay::refusals + 1);
        for (std::size_t number = 1; number < arrivals.size(); ++number) {
            CATCH_CHECK(arrivals[number] - arrivals[number - 1] >= BusyRelay::retryAfter);
        }
    }
    server->Shutdown(std::chrono::system_clock::now());
}

// Guards against a fleet whose VMs all go round between relays that aren't current, such as during a change of the control group's leader, and so keep the
// relays too busy to become current.
CATCH_TEST_CASE("A VM that finds no current relay moves less and less often", "[relay][large-fleet]")
{
    NotCurrentRelay relays[4];
    std::vector<int> ports;
    std::vector<std::unique_ptr<grpc::Server>> servers;
    for (NotCurrentRelay &relay : relays) {
        int port = 0;
        servers.push_back(startRelay(relay, port));
        ports.push_back(port);
    }
    int streams = 0;
    {
        const std::unique_ptr<RelayUplink> uplink = uplinkTo(ports);
        std::this_thread::sleep_for(8s);
        for (const NotCurrentRelay &relay : relays) {
            streams += relay.streams;
        }
    }
    for (const std::unique_ptr<grpc::Server> &server : servers) {
        server->Shutdown(std::chrono::system_clock::now());
    }
    // The first relay, and moves after 0.7, 1.4, 2.8 and 5.6 s.
    CATCH_CHECK(streams >= 2);
    CATCH_CHECK(streams <= 5);
}
