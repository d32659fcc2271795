#include "process/fleet/fleetclient.h"

#include "fleet.grpc.pb.h"
#include "process/fleet/fleetcredential.h"

#include <boost/leaf/capture.hpp>
#include <boost/leaf/context.hpp>
#include <boost/leaf/error.hpp>
#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

/// A snapshot of 240,000 teams with their keys has about 30 MB.
constexpr int maximumMessageBytes = 128 * 1024 * 1024;

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 2000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2000);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    // Idle connections send no pings, which would use up the control bandwidth of a fleet of 4,900 VMs.
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
    arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, 60000);
    // A restarted member must be reachable again before it is considered dead, which is after 4 s.
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
    return arguments;
}

FleetCallFailure::Reason reasonOf(const grpc::Status &status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::UNAUTHENTICATED:
        return FleetCallFailure::Reason::CredentialRefused;
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::DEADLINE_EXCEEDED:
    case grpc::StatusCode::CANCELLED:
        return FleetCallFailure::Reason::Unreachable;
    default:
        return FleetCallFailure::Reason::Failed;
    }
}

/// Stores the failure inside the result, since the error handlers of the completion aren't on the stack yet.
template<typename Reply>
boost::leaf::result<Reply> failedResult(const grpc::Status &status)
{
    return boost::leaf::capture(boost::leaf::make_shared_context([](const FleetCallFailure &) {}),
        [&status]() -> boost::leaf::result<Reply> { return boost::leaf::new_error(FleetCallFailure{reasonOf(status)}); });
}

} // namespace

class FleetClient::Implementation
{
public:
    using Stub = FleetMessages::Fleet::Stub;

    Implementation(std::string secret, std::shared_ptr<FleetTraffic> traffic)
        : secret(std::move(secret))
        , traffic(std::move(traffic))
    {
    }

    void stop()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->stopping = true;
        for (grpc::ClientContext *context : this->callsInFlight) {
            context->TryCancel();
        }
        this->idle.wait(lock, [this] { return this->callsInFlight.empty(); });
    }

    template<typename Request, typename Reply, typename Start>
    void call(const std::string &address, const Request &request, std::chrono::milliseconds timeout, Completion<Reply> done, Start start)
    {
        std::shared_ptr<Call<Request, Reply>> call = std::make_shared<Call<Request, Reply>>();
        call->request = request;
        call->done = std::move(done);
        call->context.AddMetadata(FleetCredential::metadataName, this->secret);
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        call->stub = this->begin(address, &call->context);
        if (call->stub == nullptr) {
            call->done(failedResult<Reply>(grpc::Status(grpc::StatusCode::CANCELLED, "")));
            return;
        }
        this->count<Request>(FleetTraffic::Direction::Sent, call->request);
        start(*call->stub, &call->context, &call->request, &call->reply, [this, call](const grpc::Status &status) {
            if (status.ok()) {
                this->count<Request>(FleetTraffic::Direction::Received, call->reply);
                call->done(std::move(call->reply));
            } else {
                call->done(failedResult<Reply>(status));
            }
            this->end(&call->context);
        });
    }

private:
    template<typename Request, typename Reply>
    struct Call {
        grpc::ClientContext context;
        Request request;
        Reply reply;
        Completion<Reply> done;
        std::shared_ptr<Stub> stub;
    };

    template<typename Request, typename Message>
    void count(FleetTraffic::Direction direction, const Message &message)
    {
        if (this->traffic != nullptr) {
            this->traffic->count(Request::descriptor()->name(), direction, message.ByteSizeLong());
        }
    }

    std::shared_ptr<Stub> begin(const std::string &address, grpc::ClientContext *context)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopping) {
            return nullptr;
        }
        std::shared_ptr<Stub> &stub = this->stubs[address];
        if (stub == nullptr) {
            stub = FleetMessages::Fleet::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments()));
        }
        this->callsInFlight.insert(context);
        return stub;
    }

    void end(grpc::ClientContext *context)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->callsInFlight.erase(context);
        // Notifies while the lock is held: as soon as it is released, the destructor may destroy the condition variable.
        this->idle.notify_all();
    }

    const std::string secret;
    const std::shared_ptr<FleetTraffic> traffic;
    std::mutex mutex;
    std::condition_variable idle;
    bool stopping = false;
    std::map<std::string, std::shared_ptr<Stub>> stubs;
    std::set<grpc::ClientContext *> callsInFlight;
};

FleetClient::FleetClient(const std::string &secret, std::shared_ptr<FleetTraffic> traffic)
    : implementation(std::make_unique<Implementation>(secret, std::move(traffic)))
{
}

FleetClient::~FleetClient()
{
    this->stop();
}

void FleetClient::stop()
{
    this->implementation->stop();
}

void FleetClient::exchange(const std::string &address,
    const FleetMessages::ExchangeMessage &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::ExchangeMessage> done)
{
    this->implementation->call(address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->Exchange(parts...); });
}

void FleetClient::fetchCatalogue(const std::string &address,
    const FleetMessages::FetchCatalogueRequest &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::FetchCatalogueReply> done)
{
    this->implementation->call(
        address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->FetchCatalogue(parts...); });
}

void FleetClient::grantLeases(const std::string &address,
    const FleetMessages::GrantLeasesRequest &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::GrantLeasesReply> done)
{
    this->implementation->call(
        address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->GrantLeases(parts...); });
}

void FleetClient::claim(
    const std::string &address, const FleetMessages::ClaimRequest &request, std::chrono::milliseconds timeout, Completion<FleetMessages::ClaimReply> done)
{
    this->implementation->call(address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->Claim(parts...); });
}

void FleetClient::finishClaim(const std::string &address,
    const FleetMessages::FinishClaimRequest &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::FinishClaimReply> done)
{
    this->implementation->call(
        address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->FinishClaim(parts...); });
}

void FleetClient::recoverClaims(const std::string &address,
    const FleetMessages::RecoverClaimsRequest &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::RecoverClaimsReply> done)
{
    this->implementation->call(
        address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->RecoverClaims(parts...); });
}

void FleetClient::borrowTokens(const std::string &address,
    const FleetMessages::BorrowTokensRequest &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::BorrowTokensReply> done)
{
    this->implementation->call(
        address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->BorrowTokens(parts...); });
}

void FleetClient::reportOutcomes(const std::string &address,
    const FleetMessages::ReportOutcomesRequest &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::ReportOutcomesReply> done)
{
    this->implementation->call(
        address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->ReportOutcomes(parts...); });
}

void FleetClient::reportCrash(const std::string &address,
    const FleetMessages::ReportCrashRequest &request,
    std::chrono::milliseconds timeout,
    Completion<FleetMessages::ReportCrashReply> done)
{
    this->implementation->call(
        address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->ReportCrash(parts...); });
}

void FleetClient::announce(
    const std::string &address, const FleetMessages::AnnounceRequest &request, std::chrono::milliseconds timeout, Completion<FleetMessages::AnnounceReply> done)
{
    this->implementation->call(address, request, timeout, std::move(done), [](Implementation::Stub &stub, auto... parts) { stub.async()->Announce(parts...); });
}

} // namespace Hyssophall
