#include "process/relay/relayservice.h"

#include "process/fleet/fleetcredential.h"
#include "process/relay/streamadmission.h"
#include "relay.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <utility>

namespace Hyssophall {

class RelayService::Implementation : public RelayMessages::Relay::Service
{
public:
    using ServerStream = grpc::ServerReaderWriter<RelayMessages::Update, RelayMessages::Update>;

    Implementation(RelayHub &hub, const std::string &fleetSecret, RelayExchange::Timing timing)
        : hub(hub)
        , credential(fleetSecret)
        , timing(timing)
        , admission(StreamAdmission::Options(), std::chrono::steady_clock::now)
    {
    }

    grpc::Status Exchange(grpc::ServerContext *context, ServerStream *stream) override
    {
        const auto presented = context->client_metadata().find(FleetCredential::metadataName);
        if (presented == context->client_metadata().end() || !this->credential.matches(std::string_view(presented->second.data(), presented->second.size()))) {
            return grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "the fleet's credential is missing");
        }
        RelayMessages::Update first;
        if (!stream->Read(&first) || first.greeting().vm().empty()) {
            return grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "a greeting must come first");
        }
        // Relays are few, and without their streams nothing reaches the VMs of other relays.
        const std::optional<std::chrono::milliseconds> retryAfter
            = first.greeting().relay_address().empty() ? this->admission.tryStart() : std::optional<std::chrono::milliseconds>();
        if (retryAfter) {
            ++this->refused;
            RelayMessages::Update refusal;
            refusal.set_retry_after_milliseconds(static_cast<std::uint32_t>(retryAfter->count()));
            stream->Write(refusal);
            return grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "too many VMs connect at once");
        }
        if (this->hub.isOtherFailureDomain(first.greeting())) {
            context->set_compression_algorithm(GRPC_COMPRESS_GZIP);
        }
        const SteadyTime startedAt = std::chrono::steady_clock::now();
        const std::shared_ptr<RelaySubscriber> subscriber = this->hub.connect(first);
        this->admission.recordStart(std::chrono::steady_clock::now() - startedAt);
        RelayExchange::Stream callbacks;
        callbacks.read = [stream](RelayMessages::Update &update) { return stream->Read(&update); };
        callbacks.write = [stream](const RelayMessages::Update &update) { return stream->Write(update); };
        callbacks.cancel = [context] { context->TryCancel(); };
        RelayExchange::Hooks hooks;
        hooks.receive = [this, &subscriber](const RelayMessages::Update &update) { this->hub.receive(*subscriber, update); };
        hooks.beforeSend = [this, &subscriber](RelayMessages::Update &update) { this->hub.addStatus(*subscriber, update); };
        if (!subscriber->isRelay()) {
            hooks.batchDelay = [this, &subscriber] { return this->hub.batchDelay(*subscriber); };
        }
        RelayExchange(subscriber->buffer, std::move(callbacks), std::move(hooks), this->timing, this->silenceMonitor).run();
        this->hub.disconnect(subscriber);
        return grpc::Status::OK;
    }

    std::uint64_t refusedCount() const
    {
        return this->refused;
    }

private:
    RelayHub &hub;
    const FleetCredential credential;
    const RelayExchange::Timing timing;
    StreamAdmission admission;
    SilenceMonitor silenceMonitor;
    std::atomic<std::uint64_t> refused{0};
};

RelayService::RelayService(RelayHub &hub, const std::string &fleetSecret, RelayExchange::Timing timing)
    : implementation(std::make_unique<Implementation>(hub, fleetSecret, timing))
{
}

RelayService::~RelayService() = default;

std::uint64_t RelayService::refusedCount() const
{
    return this->implementation->refusedCount();
}

grpc::Service &RelayService::service()
{
    return *this->implementation;
}

} // namespace Hyssophall
