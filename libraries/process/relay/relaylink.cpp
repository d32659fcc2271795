#include "process/relay/relaylink.h"

#include "process/fleet/fleetcredential.h"
#include "relay.grpc.pb.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

grpc::ChannelArguments channelArguments(std::chrono::milliseconds connectTimeout)
{
    grpc::ChannelArguments arguments;
    // Each link opens its own connection, so that a new link never reuses a connection that has gone silent.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // The default flow control windows suffice; probing for larger ones would only cost messages.
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // gRPC reconnects when a connection ends right after its start; by default, it allows 20 s for the attempt.
    const int timeout = static_cast<int>(connectTimeout.count());
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, timeout);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, timeout);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, timeout);
    return arguments;
}

gpr_timespec after(std::chrono::milliseconds duration)
{
    return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_millis(duration.count(), GPR_TIMESPAN));
}

/// How long a cancelled link goes on waiting for its connection at most.
constexpr std::chrono::milliseconds cancelCheckInterval{50};

/// Waits until the channel is connected, the attempt fails, @p deadline passes or @p isCancelled returns true. Unlike WaitForConnected(), it doesn't wait for
/// further attempts after the first one is refused.
bool isConnected(grpc::Channel &channel, gpr_timespec deadline, const std::function<bool()> &isCancelled)
{
    grpc_connectivity_state state = channel.GetState(true);
    while (state == GRPC_CHANNEL_IDLE || state == GRPC_CHANNEL_CONNECTING) {
        const bool isChanged = channel.WaitForStateChange(state, gpr_time_min(deadline, after(cancelCheckInterval)));
        if (isCancelled() || (!isChanged && gpr_time_cmp(gpr_now(GPR_CLOCK_MONOTONIC), deadline) >= 0)) {
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

/// Cancels a call that doesn't start in time. gRPC may reconnect to start it, and the relay may no longer respond then.
class RelayLink::StartTimeout
{
public:
    StartTimeout(Call &call, std::chrono::milliseconds timeout)
        : thread([this, &call, timeout] {
            std::unique_lock<std::mutex> lock(this->mutex);
            if (!this->changed.wait_for(lock, timeout, [this] { return this->hasStarted; })) {
                call.context.TryCancel();
            }
        })
    {
    }

    ~StartTimeout()
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->hasStarted = true;
        }
        this->changed.notify_all();
        this->thread.join();
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool hasStarted = false;
    std::thread thread;
};

RelayLink::RelayLink(Options options, RelayExchange::Hooks hooks)
    : options(std::move(options))
    , hooks(std::move(hooks))
{
}

bool RelayLink::run(const RelayMessages::Update &first, UpdateBuffer &outgoing)
{
    const std::shared_ptr<grpc::Channel> channel
        = grpc::CreateCustomChannel(this->options.address, grpc::InsecureChannelCredentials(), channelArguments(this->options.connectTimeout));
    const std::function<bool()> isCancelled = [this] {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->cancelled;
    };
    if (!isConnected(*channel, after(this->options.connectTimeout), isCancelled)) {
        return false;
    }
    Call activeCall;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->cancelled) {
            return false;
        }
        this->call = &activeCall;
    }
    activeCall.context.AddMetadata(FleetCredential::metadataName, this->options.fleetSecret);
    if (this->options.compresses) {
        activeCall.context.set_compression_algorithm(GRPC_COMPRESS_GZIP);
    }
    const std::unique_ptr<RelayMessages::Relay::Stub> stub = RelayMessages::Relay::NewStub(channel);
    std::unique_ptr<grpc::ClientReaderWriter<RelayMessages::Update, RelayMessages::Update>> stream;
    {
        const StartTimeout timeout(activeCall, this->options.connectTimeout);
        stream = stub->Exchange(&activeCall.context);
    }
    bool hasReceived = false;
    {
        RelayExchange::Stream callbacks;
        callbacks.read = [&stream, &hasReceived](RelayMessages::Update &update) {
            const bool isRead = stream->Read(&update);
            hasReceived = hasReceived || isRead;
            return isRead;
        };
        callbacks.write = [&stream](const RelayMessages::Update &update) { return stream->Write(update); };
        callbacks.cancel = [&activeCall] { activeCall.context.TryCancel(); };
        RelayExchange exchange(outgoing, std::move(callbacks), this->hooks, this->options.timing, this->silenceMonitor);
        exchange.setFirstMessage(first);
        exchange.run();
    }
    activeCall.context.TryCancel();
    stream->Finish();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->call = nullptr;
    return hasReceived;
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
