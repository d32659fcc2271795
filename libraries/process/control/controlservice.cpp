#include "process/control/controlservice.h"

#include "control.grpc.pb.h"
#include "process/fleet/fleetcredential.h"

#include <algorithm>
#include <atomic>
#include <grpcpp/grpcpp.h>
#include <string_view>
#include <utility>

namespace Hyssophall {

class ControlService::Implementation : public ControlMessages::Control::Service
{
public:
    Implementation(ControlHandlers handlers, std::string fleetSecret)
        : handlers(std::move(handlers))
        , credential(std::move(fleetSecret))
    {
    }

    grpc::Status RequestVote(grpc::ServerContext *context, const ControlMessages::VoteRequest *request, ControlMessages::VoteReply *reply) override
    {
        return this->handlePeerRequest(*context, *request, *reply);
    }

    grpc::Status AppendEntries(grpc::ServerContext *context, const ControlMessages::AppendRequest *request, ControlMessages::AppendReply *reply) override
    {
        return this->handlePeerRequest(*context, *request, *reply);
    }

    grpc::Status InstallSnapshot(
        grpc::ServerContext *context, const ControlMessages::InstallSnapshotRequest *request, ControlMessages::InstallSnapshotReply *reply) override
    {
        return this->handlePeerRequest(*context, *request, *reply);
    }

    grpc::Status RecallPosition(
        grpc::ServerContext *context, const ControlMessages::RecallPositionRequest *request, ControlMessages::RecallPositionReply *reply) override
    {
        return this->handlePeerRequest(*context, *request, *reply);
    }

    grpc::Status Propose(grpc::ServerContext *context, const ControlMessages::ProposeRequest *request, ControlMessages::ProposeReply *reply) override
    {
        if (!this->isAdmitted(*context)) {
            return refusal();
        }
        // Pending proposals occupy server threads. Their number is limited so that messages between replicas never wait for a free thread.
        const int pendingBefore = this->pendingProposals.fetch_add(1);
        if (pendingBefore >= maximumPendingProposals) {
            reply->set_result(ControlMessages::ProposeReply::RESULT_UNAVAILABLE);
        } else {
            const std::chrono::system_clock::duration remaining
                = std::min<std::chrono::system_clock::duration>(context->deadline() - std::chrono::system_clock::now(), std::chrono::seconds(30));
            *reply = this->handlers.propose(*request, std::chrono::steady_clock::now() + remaining);
        }
        this->pendingProposals.fetch_sub(1);
        return grpc::Status::OK;
    }

    grpc::Status Status(grpc::ServerContext *context, const ControlMessages::StatusRequest *, ControlMessages::StatusReply *reply) override
    {
        if (!this->isAdmitted(*context)) {
            return refusal();
        }
        *reply = this->handlers.status();
        return grpc::Status::OK;
    }

private:
    static constexpr int maximumPendingProposals = 64;

    static grpc::Status refusal()
    {
        return grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "the fleet credential is missing or wrong");
    }

    bool isAdmitted(const grpc::ServerContext &context) const
    {
        const auto presented = context.client_metadata().find(FleetCredential::metadataName);
        return presented != context.client_metadata().end() && this->credential.matches(std::string_view(presented->second.data(), presented->second.size()));
    }

    template<typename PeerRequest, typename PeerReply>
    grpc::Status handlePeerRequest(const grpc::ServerContext &context, const PeerRequest &request, PeerReply &reply) const
    {
        if (!this->isAdmitted(context)) {
            return refusal();
        }
        const std::optional<RaftReplica::Reply> answered = this->handlers.handleRequest(request);
        if (!answered) {
            return grpc::Status(grpc::StatusCode::FAILED_PRECONDITION, "the replica's disk has failed");
        }
        reply = std::get<PeerReply>(*answered);
        return grpc::Status::OK;
    }

    const ControlHandlers handlers;
    const FleetCredential credential;
    std::atomic<int> pendingProposals{0};
};

ControlService::ControlService(ControlHandlers handlers, std::string fleetSecret)
    : implementation(std::make_unique<Implementation>(std::move(handlers), std::move(fleetSecret)))
{
}

ControlService::~ControlService() = default;

grpc::Service &ControlService::service()
{
    return *this->implementation;
}

} // namespace Hyssophall
