#pragma once

#include "process/boundedring.h"
#include "process/control/raftreplica.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace Hyssophall {

/// Sends the messages of a replica to one peer on a thread of its own, so that a peer that hangs holds up no other.
class PeerLink
{
public:
    struct Hooks {
        /// Blocks until the reply or for the timeout. Nothing when no reply came.
        std::function<std::optional<RaftReplica::Reply>(const RaftReplica::Request &, std::chrono::milliseconds)> call;
        std::function<void(const RaftReplica::Replica &, const RaftReplica::Request &, SteadyTime, const RaftReplica::Reply &)> accept;
    };

    PeerLink(Hooks hooks, std::chrono::milliseconds timeout);
    ~PeerLink();

    /// Drops the message when the peer takes them too slowly; the replica repeats what matters.
    void send(const RaftReplica::Replica &peer, const RaftReplica::Request &request);

private:
    struct Message {
        RaftReplica::Replica peer;
        RaftReplica::Request request;
        SteadyTime queuedAt;
    };

    void run();
    void transmit(const Message &message);

    /// Messages that wait for the one under way.
    static constexpr std::size_t capacity = 16;
    /// A snapshot holds the whole catalogue, about 40 MB at target size.
    static constexpr std::chrono::milliseconds snapshotTimeout{5000};

    const Hooks hooks;
    const std::chrono::milliseconds timeout;
    BoundedRing<Message> ring{capacity};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace Hyssophall
