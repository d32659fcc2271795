#pragma once

#include "process/relay/newsbuffer.h"

#include <atomic>
#include <chrono>
#include <functional>

namespace Hyssophall {

/// The work on one stream of news, the same at both ends: one thread sends what is in a buffer, the caller's thread takes in what comes.
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

    /// Returns once the stream has ended, was silent for too long, or the buffer was closed.
    void run();

private:
    void sendUntilEnded();

    NewsBuffer &outgoing;
    const Stream stream;
    const Hooks hooks;
    const Timing timing;
    std::atomic<bool> ended{false};
    std::atomic<SteadyTime::rep> lastHeard{0};
};

} // namespace Hyssophall
