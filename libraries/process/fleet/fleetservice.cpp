#include "fleet.grpc.pb.h"
#include "process/fleet/fleetcredential.h"
#include "process/fleet/fleetserver.h"

#include <boost/leaf/error.hpp>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <exception>
#include <glog/logging.h>
#include <limits>
#include <utility>

namespace Hyssophall {

namespace {

/// A snapshot of 240,000 teams with their keys has about 30 MB.
constexpr int maximumMessageBytes = 128 * 1024 * 1024;
constexpr std::chrono::seconds shutdownGrace{1};

class FleetService final : public FleetMessages::Fleet::CallbackService
{
public:
    FleetService(std::string_view secret, FleetHandlers handlers, std::shared_ptr<FleetTraffic> traffic)
        : credential(secret)
        , handlers(std::move(handlers))
        , traffic(std::move(traffic))
    {
    }

    grpc::ServerUnaryReactor *Exchange(
        grpc::CallbackServerContext *context, const FleetMessages::ExchangeMessage *request, FleetMessages::ExchangeMessage *reply) override
    {
        return this->handle(context, this->handlers.exchange, *request, reply);
    }

    grpc::ServerUnaryReactor *FetchCatalogue(
        grpc::CallbackServerContext *context, const FleetMessages::FetchCatalogueRequest *request, FleetMessages::FetchCatalogueReply *reply) override
    {
        return this->handle(context, this->handlers.fetchCatalogue, *request, reply);
    }

    grpc::ServerUnaryReactor *GrantLeases(
        grpc::CallbackServerContext *context, const FleetMessages::GrantLeasesRequest *request, FleetMessages::GrantLeasesReply *reply) override
    {
        return this->handle(context, this->handlers.grantLeases, *request, reply);
    }

    grpc::ServerUnaryReactor *Claim(grpc::CallbackServerContext *context, const FleetMessages::ClaimRequest *request, FleetMessages::ClaimReply *reply) override
    {
        return this->handle(context, this->handlers.claim, *request, reply);
    }

    grpc::ServerUnaryReactor *FinishClaim(
        grpc::CallbackServerContext *context, const FleetMessages::FinishClaimRequest *request, FleetMessages::FinishClaimReply *reply) override
    {
        return this->handle(context, this->handlers.finishClaim, *request, reply);
    }

    grpc::ServerUnaryReactor *RecoverClaims(
        grpc::CallbackServerContext *context, const FleetMessages::RecoverClaimsRequest *request, FleetMessages::RecoverClaimsReply *reply) override
    {
        return this->handle(context, this->handlers.recoverClaims, *request, reply);
    }

    grpc::ServerUnaryReactor *BorrowTokens(
        grpc::CallbackServerContext *context, const FleetMessages::BorrowTokensRequest *request, FleetMessages::BorrowTokensReply *reply) override
    {
        return this->handle(context, this->handlers.borrowTokens, *request, reply);
    }

    grpc::ServerUnaryReactor *ReportOutcomes(
        grpc::CallbackServerContext *context, const FleetMessages::ReportOutcomesRequest *request, FleetMessages::ReportOutcomesReply *reply) override
    {
        return this->handle(context, this->handlers.reportOutcomes, *request, reply);
    }

    grpc::ServerUnaryReactor *ReportCrash(
        grpc::CallbackServerContext *context, const FleetMessages::ReportCrashRequest *request, FleetMessages::ReportCrashReply *reply) override
    {
        return this->handle(context, this->handlers.reportCrash, *request, reply);
    }

    grpc::ServerUnaryReactor *Announce(
        grpc::CallbackServerContext *context, const FleetMessages::AnnounceRequest *request, FleetMessages::AnnounceReply *reply) override
    {
        return this->handle(context, this->handlers.announce, *request, reply);
    }

private:
    bool isAuthenticated(const grpc::CallbackServerContext &context) const
    {
        const std::multimap<grpc::string_ref, grpc::string_ref> &metadata = context.client_metadata();
        const std::multimap<grpc::string_ref, grpc::string_ref>::const_iterator found = metadata.find(FleetCredential::metadataName);
        return found != metadata.end() && this->credential.matches(std::string_view(found->second.data(), found->second.size()));
    }

    template<typename Request, typename Reply>
    grpc::ServerUnaryReactor *handle(
        grpc::CallbackServerContext *context, const std::function<Reply(const Request &)> &handler, const Request &request, Reply *reply)
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!this->isAuthenticated(*context)) {
            reactor->Finish(grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "the fleet credential is missing or wrong"));
        } else if (!handler) {
            reactor->Finish(grpc::Status(grpc::StatusCode::UNIMPLEMENTED, "not served by this VM"));
        } else {
            const grpc::Status status = statusOf([&handler, &request, reply] { *reply = handler(request); });
            if (this->traffic != nullptr) {
                const std::string &name = Request::descriptor()->name();
                this->traffic->count(name, FleetTraffic::Direction::Received, request.ByteSizeLong());
                this->traffic->count(name, FleetTraffic::Direction::Sent, reply->ByteSizeLong());
            }
            reactor->Finish(status);
        }
        return reactor;
    }

    // An exception that reached a gRPC thread would end the process.
    static grpc::Status statusOf(const std::function<void()> &call)
    {
        try {
            call();
            return grpc::Status::OK;
        } catch (const std::exception &exception) {
            LOG(ERROR) << "Handler of a fleet call threw an exception: " << exception.what();
            return grpc::Status(grpc::StatusCode::INTERNAL, "the call failed in an unexpected way");
        }
    }

    const FleetCredential credential;
    const FleetHandlers handlers;
    const std::shared_ptr<FleetTraffic> traffic;
};

} // namespace

class FleetServer::Implementation
{
public:
    Implementation(const Options &options, FleetHandlers handlers)
        : service(options.secret, std::move(handlers), options.traffic)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(options.address, grpc::InsecureServerCredentials(), &this->port);
        builder.RegisterService(&this->service);
        for (grpc::Service *other : options.otherServices) {
            builder.RegisterService(other);
        }
        builder.SetMaxReceiveMessageSize(maximumMessageBytes);
        // With SO_REUSEPORT a second process could open the same port, and each would receive a part of the calls.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        // Clients send keepalive pings every 2 s. By default gRPC allows one in 5 min and closes connections that send more.
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1000);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
        this->server = builder.BuildAndStart();
    }

    FleetService service;
    int port = 0;
    std::unique_ptr<grpc::Server> server;
};

FleetServer::FleetServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

boost::leaf::result<std::unique_ptr<FleetServer>> FleetServer::create(const Options &options, FleetHandlers handlers)
{
    std::unique_ptr<Implementation> implementation = std::make_unique<Implementation>(options, std::move(handlers));
    if (implementation->server == nullptr || implementation->port == 0) {
        return boost::leaf::new_error(FleetPortUnavailable{options.address});
    }
    return std::unique_ptr<FleetServer>(new FleetServer(std::move(implementation)));
}

FleetServer::~FleetServer()
{
    this->stop();
}

int FleetServer::port() const
{
    return this->implementation->port;
}

void FleetServer::stop()
{
    if (this->implementation->server != nullptr) {
        this->implementation->server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
        this->implementation->server->Wait();
        this->implementation->server.reset();
    }
}

} // namespace Hyssophall
