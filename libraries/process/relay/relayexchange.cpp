#include "process/relay/relayexchange.h"

#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

/// How often silence is looked for within its limit.
constexpr int watchesPerLimit = 5;

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

RelayExchange::RelayExchange(NewsBuffer &outgoing, Stream stream, Hooks hooks, Timing timing)
    : outgoing(outgoing)
    , stream(std::move(stream))
    , hooks(std::move(hooks))
    , timing(timing)
{
}

void RelayExchange::run()
{
    this->lastHeard = steadyNow().time_since_epoch().count();
    std::thread sender([this] { this->sendUntilEnded(); });
    std::thread watch([this] { this->watchUntilEnded(); });
    RelayMessages::News news;
    while (this->stream.read(news)) {
        this->lastHeard = steadyNow().time_since_epoch().count();
        this->hooks.receive(news);
        news.Clear();
    }
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->ended = true;
    }
    // A write may be stuck though the stream has ended, and nobody watches any more.
    this->stream.cancel();
    this->endedChanged.notify_all();
    this->outgoing.wake();
    sender.join();
    watch.join();
}

void RelayExchange::greet(RelayMessages::News news)
{
    this->first = std::move(news);
}

void RelayExchange::watchUntilEnded()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->ended) {
        this->endedChanged.wait_for(lock, this->timing.silenceLimit / watchesPerLimit, [this] { return this->ended.load(); });
        const SteadyTime heard{SteadyTime::duration(this->lastHeard)};
        if (!this->ended && steadyNow() - heard > this->timing.silenceLimit) {
            this->stream.cancel();
        }
    }
}

void RelayExchange::sendUntilEnded()
{
    bool isOpen = !this->first || this->stream.write(*this->first);
    while (isOpen && !this->ended) {
        std::optional<RelayMessages::News> news = this->outgoing.take(steadyNow() + this->timing.heartbeat, this->timing.gathering);
        if (!news || this->ended) {
            break;
        }
        this->hooks.complete(*news);
        isOpen = this->stream.write(*news);
    }
    this->stream.cancel();
}

} // namespace Hyssophall
