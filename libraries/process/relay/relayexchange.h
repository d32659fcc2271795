#pragma once

#include "process/relay/newsbuffer.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

namespace Hyssophall {

/// The work on one stream of news, the same at both ends: one thread sends what is in a buffer, one watches for silence, and the caller's
/// thread takes in what comes. Writing blocks for as long as a lost peer's windows are full, so the sender can't be the one that watches.
class RelayExchange
{
public:
    struct Stream {
        /// Blocks until a message is there; false once the stream has ended.
        std::function<bool(RelayMessages::News &)> read;
        std::function<bool(const RelayMessages::News &)> write;
        /// Ends the stream from any thread.
        std::function<void()> cancel;
    };

    struct Hooks {
        std::function<void(const RelayMessages::News &)> receive;
        /// Adds confirmation and status to a message that is about to leave.
        std::function<void(RelayMessages::News &)> complete;
    };

    struct Timing {
        /// Longest time between two messages, so that the other side sees a silent connection.
        std::chrono::milliseconds heartbeat{150};
        /// A stream without any message for this long has gone silent, as after a partition: no reset tells of it.
        std::chrono::milliseconds silenceLimit{700};
        /// Each message costs some 80 bytes and a wake-up on each side, so news waits for more.
        NewsBuffer::Gathering gathering;
    };

    /// The buffer and what the hooks use outlive run().
    RelayExchange(NewsBuffer &outgoing, Stream stream, Hooks hooks, Timing timing);

    /// Sends @p first before anything else.
    void greet(RelayMessages::News first);

    /// Returns once the stream has ended, was silent for too long, or the buffer was closed.
    void run();

private:
    void sendUntilEnded();
    void watchUntilEnded();

    NewsBuffer &outgoing;
    const Stream stream;
    const Hooks hooks;
    const Timing timing;
    std::optional<RelayMessages::News> first;
    std::mutex mutex;
    std::condition_variable endedChanged;
    std::atomic<bool> ended{false};
    std::atomic<SteadyTime::rep> lastHeard{0};
};

} // namespace Hyssophall
