#include "process/control/controlclient.h"

#include "control.grpc.pb.h"
#include "process/fleet/fleetcredential.h"

#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace Hyssophall {

namespace {

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    // Without keepalive, a dead connection is detected only by the kernel's timeouts, which take minutes.
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 2000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2000);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    // Without this, channels with equal arguments share one connection per process, and a snapshot would delay heartbeats.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return arguments;
}

} // namespace

class ControlClient::Implementation
{
public:
    Implementation(const std::string &address, std::string fleetSecret)
        : channel(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments()))
        , stub(ControlMessages::Control::NewStub(this->channel))
        , fleetSecret(std::move(fleetSecret))
    {
    }

    void prepare(grpc::ClientContext &context, std::chrono::milliseconds timeout) const
    {
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        context.AddMetadata(FleetCredential::metadataName, this->fleetSecret);
    }

    grpc::Status send(grpc::ClientContext &context, const ControlMessages::VoteRequest &request, RaftReplica::Reply &reply)
    {
        return this->stub->RequestVote(&context, request, &reply.emplace<ControlMessages::VoteReply>());
    }

    grpc::Status send(grpc::ClientContext &context, const ControlMessages::AppendRequest &request, RaftReplica::Reply &reply)
    {
        return this->stub->AppendEntries(&context, request, &reply.emplace<ControlMessages::AppendReply>());
    }

    grpc::Status send(grpc::ClientContext &context, const ControlMessages::InstallSnapshotRequest &request, RaftReplica::Reply &reply)
    {
        return this->stub->InstallSnapshot(&context, request, &reply.emplace<ControlMessages::InstallSnapshotReply>());
    }

    grpc::Status send(grpc::ClientContext &context, const ControlMessages::RecallPositionRequest &request, RaftReplica::Reply &reply)
    {
        return this->stub->RecallPosition(&context, request, &reply.emplace<ControlMessages::RecallPositionReply>());
    }

    const std::shared_ptr<grpc::Channel> channel;
    const std::unique_ptr<ControlMessages::Control::Stub> stub;
    const std::string fleetSecret;
};

ControlClient::ControlClient(const std::string &address, std::string fleetSecret)
    : implementation(std::make_unique<Implementation>(address, std::move(fleetSecret)))
{
}

ControlClient::~ControlClient() = default;

std::optional<RaftReplica::Reply> ControlClient::call(const RaftReplica::Request &request, std::chrono::milliseconds timeout)
{
    grpc::ClientContext context;
    this->implementation->prepare(context, timeout);
    RaftReplica::Reply reply;
    const grpc::Status status
        = std::visit([this, &context, &reply](const auto &message) { return this->implementation->send(context, message, reply); }, request);
    if (!status.ok()) {
        return std::nullopt;
    }
    return reply;
}

boost::leaf::result<ControlMessages::ProposeReply> ControlClient::propose(const ControlMessages::ProposeRequest &request, std::chrono::milliseconds timeout)
{
    // A change that was never sent is certain not to be accepted. Once it is sent, only a reply shows whether it was.
    const std::chrono::milliseconds connecting = std::min(timeout, std::chrono::milliseconds(500));
    if (!this->implementation->channel->WaitForConnected(std::chrono::system_clock::now() + connecting)) {
        return boost::leaf::new_error(ControlUnavailable{ControlUnavailable::Reason::NoQuorum});
    }
    grpc::ClientContext context;
    this->implementation->prepare(context, timeout);
    ControlMessages::ProposeReply reply;
    const grpc::Status status = this->implementation->stub->Propose(&context, request, &reply);
    if (!status.ok()) {
        const bool refused = status.error_code() == grpc::StatusCode::UNAUTHENTICATED;
        return boost::leaf::new_error(ControlUnavailable{refused ? ControlUnavailable::Reason::NoQuorum : ControlUnavailable::Reason::Unknown});
    }
    return reply;
}

std::optional<ControlMessages::StatusReply> ControlClient::status(std::chrono::milliseconds timeout)
{
    grpc::ClientContext context;
    this->implementation->prepare(context, timeout);
    ControlMessages::StatusReply reply;
    if (!this->implementation->stub->Status(&context, ControlMessages::StatusRequest(), &reply).ok()) {
        return std::nullopt;
    }
    return reply;
}

} // namespace Hyssophall
