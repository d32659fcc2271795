#include "process/relay/relayexchange.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <utility>

using namespace Hyssophall;

namespace {

/// A stream to a peer that was lost without a reset: nothing arrives, and writes block, until the stream is cancelled.
class LostStream
{
public:
    RelayExchange::Stream callbacks()
    {
        RelayExchange::Stream stream;
        stream.read = [this](RelayMessages::Update &) { return this->waitForCancel(); };
        stream.write = [this](const RelayMessages::Update &) { return this->waitForCancel(); };
        stream.cancel = [this] {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->cancelled = true;
            this->changed.notify_all();
        };
        return stream;
    }

private:
    bool waitForCancel()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait_for(lock, std::chrono::seconds(20), [this] { return this->cancelled; });
        return false;
    }

    std::mutex mutex;
    std::condition_variable changed;
    bool cancelled = false;
};

} // namespace

// Guards against a VM that stays on a stream to a lost relay forever, because the thread that detects silence is blocked in a write.
CATCH_TEST_CASE("A stream whose writes block ends after the silence timeout", "[relay][config-in-force]")
{
    LostStream lost;
    SilenceMonitor silenceMonitor;
    UpdateBuffer outgoing;
    RelayExchange::Timing timing;
    timing.silenceTimeout = std::chrono::milliseconds(100);
    RelayExchange exchange(outgoing, lost.callbacks(), {[](const RelayMessages::Update &) {}, [](RelayMessages::Update &) {}}, timing, silenceMonitor);
    exchange.setFirstMessage(RelayMessages::Update());
    const SteadyTime began = std::chrono::steady_clock::now();
    exchange.run();
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(10));
}

// Guards against a VM that never connects to another relay, because its relay ended the stream while a write was blocked.
CATCH_TEST_CASE("A stream that the peer ends doesn't wait for a write that blocks", "[relay][config-in-force]")
{
    LostStream lost;
    SilenceMonitor silenceMonitor;
    RelayExchange::Stream callbacks = lost.callbacks();
    callbacks.read = [](RelayMessages::Update &) { return false; };
    UpdateBuffer outgoing;
    RelayExchange exchange(
        outgoing, std::move(callbacks), {[](const RelayMessages::Update &) {}, [](RelayMessages::Update &) {}}, RelayExchange::Timing(), silenceMonitor);
    exchange.setFirstMessage(RelayMessages::Update());
    const SteadyTime began = std::chrono::steady_clock::now();
    exchange.run();
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(10));
}
