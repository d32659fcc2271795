#include "process/relay/relayexchange.h"

#include <memory>
#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

RelayExchange::RelayExchange(UpdateBuffer &outgoing, Stream stream, Hooks hooks, Timing timing, SilenceMonitor &silenceMonitor)
    : outgoing(outgoing)
    , stream(std::move(stream))
    , hooks(std::move(hooks))
    , timing(timing)
    , silenceMonitor(silenceMonitor)
{
}

void RelayExchange::run()
{
    this->lastReceived = steadyNow().time_since_epoch().count();
    std::thread sender([this] { this->sendUntilEnded(); });
    std::unique_ptr<SilenceMonitor::Watch> watch
        = this->silenceMonitor.watch(this->lastReceived, this->timing.silenceTimeout, [this] { this->stream.cancel(); });
    RelayMessages::Update update;
    while (this->stream.read(update)) {
        this->lastReceived = steadyNow().time_since_epoch().count();
        this->hooks.receive(update);
        update.Clear();
    }
    this->ended = true;
    watch.reset();
    // A write may still block though the stream has ended, and nothing watches it any more, so the write must be cancelled.
    this->stream.cancel();
    this->outgoing.wake();
    sender.join();
}

void RelayExchange::setFirstMessage(RelayMessages::Update update)
{
    this->first = std::move(update);
}

void RelayExchange::sendUntilEnded()
{
    bool isOpen = !this->first || this->stream.write(*this->first);
    RelayMessages::Update update;
    while (isOpen && !this->ended) {
        const UpdateBuffer::BatchDelay batchDelay = this->hooks.batchDelay ? this->hooks.batchDelay() : this->timing.batchDelay;
        if (!this->outgoing.nextMessage(update, steadyNow() + this->timing.heartbeat, batchDelay) || this->ended) {
            break;
        }
        this->hooks.beforeSend(update);
        isOpen = this->stream.write(update);
    }
    this->stream.cancel();
}

} // namespace Hyssophall
