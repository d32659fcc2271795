#include "process/relay/relaylink.h"

#include "process/fleet/fleetcredential.h"
#include "relay.grpc.pb.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

grpc::ChannelArguments channelArguments(std::chrono::milliseconds connectLimit)
{
    grpc::ChannelArguments arguments;
    // Each link has a connection of its own, so that a new link never takes over one gone silent.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // The windows are ample; probes for larger ones would only cost messages.
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // A connection that ends right after its start is opened again by gRPC, by default with 20 s for the attempt.
    const int limit = static_cast<int>(connectLimit.count());
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, limit);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, limit);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, limit);
    return arguments;
}

gpr_timespec after(std::chrono::milliseconds duration)
{
    return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_millis(duration.count(), GPR_TIMESPAN));
}

/// Unlike WaitForConnected(), this doesn't wait for further attempts on an address that refuses the first one.
bool isConnected(grpc::Channel &channel, gpr_timespec deadline)
{
    grpc_connectivity_state state = channel.GetState(true);
    while (state == GRPC_CHANNEL_IDLE || state == GRPC_CHANNEL_CONNECTING) {
        if (!channel.WaitForStateChange(state, deadline)) {
            return false;
        }
        state = channel.GetState(true);
    }
    return state == GRPC_CHANNEL_READY;
}

} // namespace

class RelayLink::Call
{
public:
    grpc::ClientContext context;
};

/// Cancels a call whose beginning takes too long: gRPC may connect anew for it, to an address that doesn't answer any more.
class RelayLink::BeginningLimit
{
public:
    BeginningLimit(Call &call, std::chrono::milliseconds limit)
        : thread([this, &call, limit] {
            std::unique_lock<std::mutex> lock(this->mutex);
            if (!this->changed.wait_for(lock, limit, [this] { return this->hasBegun; })) {
                call.context.TryCancel();
            }
        })
    {
    }

    ~BeginningLimit()
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->hasBegun = true;
        }
        this->changed.notify_all();
        this->thread.join();
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool hasBegun = false;
    std::thread thread;
};

RelayLink::RelayLink(Options options, RelayExchange::Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
{
}

bool RelayLink::run(const RelayMessages::News &first, NewsBuffer &outgoing)
{
    const std::shared_ptr<grpc::Channel> channel
        = grpc::CreateCustomChannel(this->options.address, grpc::InsecureChannelCredentials(), channelArguments(this->options.connectLimit));
    if (!isConnected(*channel, after(this->options.connectLimit))) {
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
    std::unique_ptr<grpc::ClientReaderWriter<RelayMessages::News, RelayMessages::News>> stream;
    {
        const BeginningLimit limit(running, this->options.connectLimit);
        stream = stub->Exchange(&running.context);
    }
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
