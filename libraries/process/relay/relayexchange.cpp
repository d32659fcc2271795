#include "process/relay/relayexchange.h"

#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

/// How often the time of the last message is checked within the silence timeout.
constexpr int silenceChecksPerTimeout = 5;

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

RelayExchange::RelayExchange(UpdateBuffer &outgoing, Stream stream, Hooks hooks, Timing timing)
    : outgoing(outgoing)
    , stream(std::move(stream))
    , hooks(std::move(hooks))
    , timing(timing)
{
}

void RelayExchange::run()
{
    this->lastReceived = steadyNow().time_since_epoch().count();
    std::thread sender([this] { this->sendUntilEnded(); });
    std::thread silenceDetector([this] { this->detectSilenceUntilEnded(); });
    RelayMessages::Update update;
    while (this->stream.read(update)) {
        this->lastReceived = steadyNow().time_since_epoch().count();
        this->hooks.receive(update);
        update.Clear();
    }
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->ended = true;
    }
    // A write may still block though the stream has ended, and the silence detector stops here, so the write must be cancelled.
    this->stream.cancel();
    this->endedChanged.notify_all();
    this->outgoing.wake();
    sender.join();
    silenceDetector.join();
}

void RelayExchange::setFirstMessage(RelayMessages::Update update)
{
    this->first = std::move(update);
}

void RelayExchange::detectSilenceUntilEnded()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->ended) {
        this->endedChanged.wait_for(lock, this->timing.silenceTimeout / silenceChecksPerTimeout, [this] { return this->ended.load(); });
        const SteadyTime received{SteadyTime::duration(this->lastReceived)};
        if (!this->ended && steadyNow() - received > this->timing.silenceTimeout) {
            this->stream.cancel();
        }
    }
}

void RelayExchange::sendUntilEnded()
{
    bool isOpen = !this->first || this->stream.write(*this->first);
    while (isOpen && !this->ended) {
        std::optional<RelayMessages::Update> update = this->outgoing.nextMessage(steadyNow() + this->timing.heartbeat, this->timing.batchDelay);
        if (!update || this->ended) {
            break;
        }
        this->hooks.beforeSend(*update);
        isOpen = this->stream.write(*update);
    }
    this->stream.cancel();
}

} // namespace Hyssophall
