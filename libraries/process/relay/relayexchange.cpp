#include "process/relay/relayexchange.h"

#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

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
    RelayMessages::News news;
    while (this->stream.read(news)) {
        this->lastHeard = steadyNow().time_since_epoch().count();
        this->hooks.receive(news);
        news.Clear();
    }
    this->ended = true;
    this->outgoing.wake();
    sender.join();
}

void RelayExchange::sendUntilEnded()
{
    while (!this->ended) {
        std::optional<RelayMessages::News> news = this->outgoing.take(steadyNow() + this->timing.heartbeat, this->timing.gathering);
        const SteadyTime heard{SteadyTime::duration(this->lastHeard)};
        if (!news || this->ended || steadyNow() - heard > this->timing.silenceLimit) {
            break;
        }
        this->hooks.complete(*news);
        if (!this->stream.write(*news)) {
            break;
        }
    }
    this->stream.cancel();
}

} // namespace Hyssophall
