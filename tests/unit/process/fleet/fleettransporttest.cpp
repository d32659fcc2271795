#include "process/fleet/fleetclient.h"
#include "process/fleet/fleetserver.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace Hyssophall;

namespace {

const std::string secret = "a secret of the fleet";

std::unique_ptr<FleetServer> startServer()
{
    FleetHandlers handlers;
    handlers.announce = [](const FleetMessages::AnnounceRequest &request) {
        FleetMessages::AnnounceReply reply;
        reply.set_accepted(request.instance().id() == "orders-1");
        return reply;
    };
    return FleetServer::create({"127.0.0.1:0", secret, {}}, handlers).value();
}

/// "accepted", "refused", or the number of the failure's reason.
std::string announce(FleetTransport &transport, const std::string &address)
{
    FleetMessages::AnnounceRequest request;
    request.mutable_instance()->set_id("orders-1");
    std::promise<std::string> outcome;
    transport.announce(address, request, std::chrono::seconds(2), [&outcome](boost::leaf::result<FleetMessages::AnnounceReply> reply) {
        outcome.set_value(boost::leaf::try_handle_all(
            [&reply]() -> boost::leaf::result<std::string> {
                if (!reply) {
                    return reply.load();
                }
                return reply->accepted() ? "accepted" : "refused";
            },
            [](const FleetCallFailure &failure) { return std::to_string(static_cast<int>(failure.reason)); },
            [] { return std::string("untyped"); }));
    });
    return outcome.get_future().get();
}

} // namespace

// Guards against calls that are served without the fleet's credential, and against a FleetCallFailure that gets lost when the
// result moves to another thread.
CATCH_TEST_CASE("A fleet port answers only calls with the credential", "[fleet][transport]")
{
    const std::unique_ptr<FleetServer> server = startServer();
    const std::string address = "127.0.0.1:" + std::to_string(server->port());
    FleetClient client(secret);
    FleetClient stranger("another secret of a fleet");
    CATCH_REQUIRE(announce(client, address) == "accepted");
    CATCH_REQUIRE(announce(stranger, address) == std::to_string(static_cast<int>(FleetCallFailure::Reason::CredentialRefused)));
    server->stop();
    CATCH_REQUIRE(announce(client, address) == std::to_string(static_cast<int>(FleetCallFailure::Reason::Unreachable)));
}

// Guards against two processes that listen on the same port, and against a crash or a hanging call if a hook isn't set.
CATCH_TEST_CASE("A fleet port that is taken is reported, and calls without a hook fail", "[fleet][transport]")
{
    const std::unique_ptr<FleetServer> server = startServer();
    const std::string address = "127.0.0.1:" + std::to_string(server->port());
    CATCH_REQUIRE(!FleetServer::create({address, secret, {}}, {}));
    FleetClient client(secret);
    std::promise<bool> answered;
    client.exchange(address, {}, std::chrono::seconds(2), [&answered](boost::leaf::result<FleetMessages::ExchangeMessage> reply) {
        answered.set_value(static_cast<bool>(reply));
    });
    CATCH_REQUIRE_FALSE(answered.get_future().get());
}
