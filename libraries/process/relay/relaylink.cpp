#include "process/relay/relaylink.h"

#include "process/fleet/fleetcredential.h"
#include "relay.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <utility>

namespace Hyssophall {

namespace {

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    // Each link has a connection of its own, so that a new link never takes over one gone silent.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // The windows are ample; probes for larger ones would only cost messages.
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return arguments;
}

gpr_timespec after(std::chrono::milliseconds duration)
{
    return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_millis(duration.count(), GPR_TIMESPAN));
}

} // namespace

class RelayLink::Call
{
public:
    grpc::ClientContext context;
};

RelayLink::RelayLink(Options options, RelayExchange::Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
{
}

bool RelayLink::run(const RelayMessages::News &first, NewsBuffer &outgoing)
{
    const std::shared_ptr<grpc::Channel> channel = grpc::CreateCustomChannel(this->options.address, grpc::InsecureChannelCredentials(), channelArguments());
    if (!channel->WaitForConnected(after(this->options.connectLimit))) {
        return false;
    }
    Call running;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->cancelled) {
            return false;
        }
        this->call = &running;
    }
    running.context.AddMetadata(FleetCredential::metadataName, this->options.fleetSecret);
    const std::unique_ptr<RelayMessages::Relay::Stub> stub = RelayMessages::Relay::NewStub(channel);
    const std::unique_ptr<grpc::ClientReaderWriter<RelayMessages::News, RelayMessages::News>> stream = stub->Exchange(&running.context);
    bool stood = false;
    {
        RelayExchange::Stream ends;
        ends.read = [&stream, &stood](RelayMessages::News &news) {
            const bool isRead = stream->Read(&news);
            stood = stood || isRead;
            return isRead;
        };
        ends.write = [&stream](const RelayMessages::News &news) { return stream->Write(news); };
        ends.cancel = [&running] { running.context.TryCancel(); };
        RelayExchange exchange(outgoing, std::move(ends), this->hooks, this->options.timing);
        exchange.greet(first);
        exchange.run();
    }
    running.context.TryCancel();
    stream->Finish();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->call = nullptr;
    return stood;
}

void RelayLink::cancel()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->cancelled = true;
    if (this->call != nullptr) {
        this->call->context.TryCancel();
    }
}

} // namespace Hyssophall
