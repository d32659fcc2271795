#pragma once

#include "process/relay/silencemonitor.h"
#include "process/relay/updatebuffer.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>

namespace Hyssophall {

/// Runs one end of a stream of updates; both ends work the same way. One thread sends the content of a buffer, and the caller's thread receives.
/// The SilenceMonitor ends the stream after a silence: the sending thread can't detect it, since its writes block while the HTTP/2 flow control
/// windows of a lost peer are full.
class RelayExchange
{
public:
    struct Stream {
        /// Blocks until a message arrives; false once the stream has ended.
        std::function<bool(RelayMessages::Update &)> read;
        std::function<bool(const RelayMessages::Update &)> write;
        /// Ends the stream from any thread.
        std::function<void()> cancel;
    };

    struct Hooks {
        std::function<void(const RelayMessages::Update &)> receive;
        /// Called before each message is sent, except for the first one. May add to it, such as a confirmation or a status.
        std::function<void(RelayMessages::Update &)> beforeSend;
        /// How long messages are held back; as in the timing if it is empty.
        std::function<UpdateBuffer::BatchDelay()> batchDelay = nullptr;
    };

    struct Timing {
        /// Longest time between two messages; an empty one is sent when there is no update. Lets the other side detect a lost connection.
        std::chrono::milliseconds heartbeat{150};
        /// The stream is ended when no message arrives for this long. A partition doesn't reset the connection, so there is no other sign of it.
        std::chrono::milliseconds silenceTimeout{700};
        /// Updates are sent in batches, since each message costs about 80 bytes and wakes a thread on each side.
        UpdateBuffer::BatchDelay batchDelay;
    };

    /// The buffer, the monitor, and whatever the hooks use, must outlive run().
    RelayExchange(UpdateBuffer &outgoing, Stream stream, Hooks hooks, Timing timing, SilenceMonitor &silenceMonitor);

    /// Sets the message that run() sends first. It has no sequence and isn't passed to beforeSend().
    void setFirstMessage(RelayMessages::Update first);

    /// Returns once the stream has ended, the silence timeout has passed, or the buffer was closed.
    void run();

private:
    void sendUntilEnded();

    UpdateBuffer &outgoing;
    const Stream stream;
    const Hooks hooks;
    const Timing timing;
    SilenceMonitor &silenceMonitor;
    std::optional<RelayMessages::Update> first;
    std::atomic<bool> ended{false};
    std::atomic<SteadyTime::rep> lastReceived{0};
};

} // namespace Hyssophall
