#include "process/relay/relayexchange.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <utility>

using namespace Hyssophall;

namespace {

/// A stream to a peer that has gone without a sign: nothing arrives, and writes block, until it is cancelled.
class LostStream
{
public:
    RelayExchange::Stream ends()
    {
        RelayExchange::Stream stream;
        stream.read = [this](RelayMessages::News &) { return this->waitForCancel(); };
        stream.write = [this](const RelayMessages::News &) { return this->waitForCancel(); };
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

// Guards against a VM that hangs on a lost relay for good, since the thread that looks for silence is blocked in a write.
CATCH_TEST_CASE("A stream whose writes block ends when it has been silent for too long", "[relay][config-in-force]")
{
    LostStream lost;
    NewsBuffer outgoing;
    RelayExchange::Timing timing;
    timing.silenceLimit = std::chrono::milliseconds(100);
    RelayExchange exchange(outgoing, lost.ends(), {[](const RelayMessages::News &) {}, [](RelayMessages::News &) {}}, timing);
    exchange.greet(RelayMessages::News());
    const SteadyTime began = std::chrono::steady_clock::now();
    exchange.run();
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(10));
}

// Guards against a VM that never looks for another relay, since its relay ended the stream while a write was stuck.
CATCH_TEST_CASE("A stream that the peer ends doesn't wait for a write that is stuck", "[relay][config-in-force]")
{
    LostStream lost;
    RelayExchange::Stream ends = lost.ends();
    ends.read = [](RelayMessages::News &) { return false; };
    NewsBuffer outgoing;
    RelayExchange exchange(outgoing, std::move(ends), {[](const RelayMessages::News &) {}, [](RelayMessages::News &) {}}, RelayExchange::Timing());
    exchange.greet(RelayMessages::News());
    const SteadyTime began = std::chrono::steady_clock::now();
    exchange.run();
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(10));
}
