#include "process/relay/relayuplink.h"

#include "relay.grpc.pb.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t relaysVersion = 9;

/// A relay that goes on telling its status on the first stream, and sends its configuration on later ones alone.
class ForgetfulRelay : public RelayMessages::Relay::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext *context, grpc::ServerReaderWriter<RelayMessages::News, RelayMessages::News> *stream) override
    {
        const bool sendsConfiguration = this->streams++ > 0;
        RelayMessages::News news;
        if (!stream->Read(&news)) {
            return grpc::Status::OK;
        }
        this->greeted = news.greeting().configuration_version();
        bool isFirst = true;
        while (!context->IsCancelled()) {
            RelayMessages::News told;
            told.mutable_status()->set_current(true);
            told.mutable_status()->set_known_vms(1);
            told.mutable_status()->set_visible_vms(1);
            told.mutable_status()->set_configuration_version(relaysVersion);
            if (sendsConfiguration && isFirst) {
                told.mutable_configuration()->set_version(relaysVersion);
            }
            isFirst = false;
            if (!stream->Write(told)) {
                break;
            }
            std::this_thread::sleep_for(50ms);
        }
        return grpc::Status::OK;
    }

    std::atomic<int> streams{0};
    std::atomic<std::uint64_t> greeted{0};
};

/// A relay that writes to its VM all the time and confirms its messages only while it is told to.
class UnconfirmingRelay : public RelayMessages::Relay::Service
{
public:
    grpc::Status Exchange(grpc::ServerContext *context, grpc::ServerReaderWriter<RelayMessages::News, RelayMessages::News> *stream) override
    {
        std::atomic<std::uint64_t> received{0};
        std::thread reader([stream, &received] {
            RelayMessages::News news;
            while (stream->Read(&news)) {
                received = news.sequence();
            }
        });
        std::uint64_t confirmed = 0;
        while (!context->IsCancelled()) {
            confirmed = this->isConfirming ? received.load() : confirmed;
            RelayMessages::News told;
            told.set_confirmed(confirmed);
            told.mutable_status()->set_current(true);
            told.mutable_status()->set_known_vms(4);
            told.mutable_status()->set_visible_vms(4);
            if (!stream->Write(told)) {
                break;
            }
            std::this_thread::sleep_for(20ms);
        }
        reader.join();
        return grpc::Status::OK;
    }

    std::atomic<bool> isConfirming{true};
};

/// A VM that is connected to such a relay.
struct UnconfirmingFixture {
    UnconfirmingFixture()
    {
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&this->relay);
        this->server = builder.BuildAndStart();
        CATCH_REQUIRE(this->server != nullptr);
        RelayUplink::Options options;
        options.seeds = {"127.0.0.1:" + std::to_string(port)};
        options.fleetSecret = "a secret of the tests";
        RelayUplink::Hooks hooks;
        hooks.clock = std::chrono::steady_clock::now;
        hooks.random = [] { return std::uint64_t{1}; };
        hooks.greet = [](std::uint64_t) {
            RelayMessages::News first;
            first.mutable_greeting()->set_vm("vm-1");
            return first;
        };
        hooks.receive = [](const RelayMessages::News &) {};
        hooks.confirmed = [](std::uint64_t) {};
        hooks.heard = [](SteadyTime, SteadyTime, double) {};
        hooks.isConfigured = [] { return true; };
        hooks.configurationVersion = [] { return std::uint64_t{0}; };
        this->uplink = std::make_unique<RelayUplink>(options, hooks);
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
    const SteadyTime limit = std::chrono::steady_clock::now() + 10s;
    while (!condition() && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

} // namespace

// Guards against a VM that keeps an old configuration for as long as its stream lives, because one message was lost to it.
CATCH_TEST_CASE("A VM that lacks its relay's configuration connects anew and gets it", "[relay][config-in-force]")
{
    ForgetfulRelay relay;
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&relay);
    const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    CATCH_REQUIRE(server != nullptr);

    std::atomic<std::uint64_t> version{4};
    RelayUplink::Options options;
    options.seeds = {"127.0.0.1:" + std::to_string(port)};
    options.fleetSecret = "a secret of the tests";
    RelayUplink::Hooks hooks;
    hooks.clock = std::chrono::steady_clock::now;
    hooks.random = [] { return std::uint64_t{1}; };
    hooks.greet = [&version](std::uint64_t) {
        RelayMessages::News first;
        first.mutable_greeting()->set_vm("vm-1");
        first.mutable_greeting()->set_configuration_version(version);
        return first;
    };
    hooks.receive = [&version](const RelayMessages::News &news) {
        if (news.has_configuration()) {
            version = news.configuration().version();
        }
    };
    hooks.confirmed = [](std::uint64_t) {};
    hooks.heard = [](SteadyTime, SteadyTime, double) {};
    hooks.isConfigured = [] { return true; };
    hooks.configurationVersion = [&version] { return version.load(); };
    {
        const RelayUplink uplink(options, hooks);
        const SteadyTime limit = std::chrono::steady_clock::now() + 10s;
        while (version != relaysVersion && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(10ms);
        }
        CATCH_CHECK(version == relaysVersion);
        CATCH_CHECK(relay.greeted == 4);
        // With its configuration in force, the VM stays.
        const int streams = relay.streams;
        std::this_thread::sleep_for(1500ms);
        CATCH_CHECK(relay.streams == streams);
    }
    server->Shutdown(std::chrono::system_clock::now());
}

// Guards against an age that starts anew with each message that arrives, however long ago it was written.
CATCH_TEST_CASE("What a VM knows is as old as its latest message that the relay has confirmed", "[relay][fleet-limit]")
{
    UnconfirmingFixture fixture;
    CATCH_CHECK(isMet([&fixture] { return fixture.uplink->knowledgeAge().has_value(); }));
    std::this_thread::sleep_for(600ms);
    CATCH_CHECK(fixture.uplink->knowledgeAge().value() < 500ms);
    fixture.relay.isConfirming = false;
    std::this_thread::sleep_for(700ms);
    CATCH_CHECK(fixture.uplink->knowledgeAge().value() >= 600ms);
}

// Guards against a VM that stood still and takes what its relay wrote during the pause for the present state of the fleet.
CATCH_TEST_CASE("A VM hears nobody while its relay confirms nothing, whatever arrives", "[relay][fleet-limit]")
{
    UnconfirmingFixture fixture;
    CATCH_CHECK(isMet([&fixture] { return fixture.uplink->visibleShare() == 1; }));
    fixture.relay.isConfirming = false;
    std::this_thread::sleep_for(700ms);
    CATCH_CHECK(fixture.uplink->visibleShare() == Approx(0.25));
    fixture.relay.isConfirming = true;
    CATCH_CHECK(isMet([&fixture] { return fixture.uplink->visibleShare() == 1; }));
}
