#pragma once

#include "process/boundedring.h"
#include "process/control/raftreplica.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace Hyssophall {

/// Sends a replica's requests to one peer on a separate thread, so that a peer that hangs doesn't delay the others.
class PeerLink
{
public:
    /// Where the time of one request went.
    struct Durations {
        std::chrono::milliseconds queued{0};
        /// From sending the request to the reply, or to the timeout.
        std::chrono::milliseconds call{0};
        std::chrono::milliseconds handling{0};
        bool hasReply = false;

        std::chrono::milliseconds total() const
        {
            return this->queued + this->call + this->handling;
        }
    };

    struct Hooks {
        /// Sends a request. Blocks until the reply arrives, or for the timeout and returns nothing.
        std::function<std::optional<RaftReplica::Reply>(const RaftReplica::Request &, std::chrono::milliseconds)> call;
        /// Called on the link's thread with each reply, and the time at which its request was sent.
        std::function<void(const RaftReplica::Replica &, const RaftReplica::Request &, SteadyTime, const RaftReplica::Reply &)> handleReply;
        /// Called on the link's thread after each request. May be empty.
        std::function<void(const RaftReplica::Replica &, const Durations &)> exchanged;
    };

    PeerLink(Hooks hooks, std::chrono::milliseconds timeout);
    ~PeerLink();

    /// Queues a request. Drops it when the queue is full; the replica repeats what is still needed.
    void send(const RaftReplica::Replica &peer, const RaftReplica::Request &request);

private:
    struct Message {
        RaftReplica::Replica peer;
        RaftReplica::Request request;
        SteadyTime queuedAt;
    };

    void run();
    void transmit(const Message &message);

    /// Maximum number of queued messages.
    static constexpr std::size_t capacity = 16;
    /// Longer than the timeout of other requests because a snapshot holds the whole catalogue, about 40 MB at target size.
    static constexpr std::chrono::milliseconds snapshotTimeout{5000};

    const Hooks hooks;
    const std::chrono::milliseconds timeout;
    BoundedRing<Message> queue{capacity};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace Hyssophall
