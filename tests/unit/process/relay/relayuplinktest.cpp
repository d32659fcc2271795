#include "process/relay/relayuplink.h"

#include "relay.grpc.pb.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
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
    hooks.greet = [&version] {
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
