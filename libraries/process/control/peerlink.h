#pragma once

#include "process/control/raftreplica.h"

#include <array>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace Hyssophall {

/**
 * Sends a replica's requests to one peer on separate threads, so that a peer that hangs doesn't delay the others.
 *
 * Of each kind of request, only the newest one waits: a replica repeats in each request what the peer hasn't confirmed. Requests are sent one after the
 * other while the peer replies quickly. A call that takes longer doesn't hold up the next one, so that a peer that replies late still shows the leader
 * that it follows.
 */
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
        /// Sends a request. Blocks until the reply arrives, or for the timeout and returns nothing. Called on several threads at once.
        std::function<std::optional<RaftReplica::Reply>(const RaftReplica::Request &, std::chrono::milliseconds)> call;
        /// Called on one of the link's threads with each reply, and the time at which its request was sent.
        std::function<void(const RaftReplica::Replica &, const RaftReplica::Request &, SteadyTime, const RaftReplica::Reply &)> handleReply;
        /// Called on one of the link's threads after each request. May be empty.
        std::function<void(const RaftReplica::Replica &, const Durations &)> exchanged;
    };

    struct Options {
        /// Longest time that a request waits or a call takes. Calls with a snapshot may take 5 s.
        std::chrono::milliseconds timeout{600};
        /// A request waits for the end of the previous call for this long at most.
        std::chrono::milliseconds longestHold{150};
    };

    PeerLink(Options options, Hooks hooks);
    ~PeerLink();

    /// Queues a request in place of an earlier one of the same kind that still waits.
    void send(const RaftReplica::Replica &peer, const RaftReplica::Request &request);

private:
    struct Message {
        RaftReplica::Replica peer;
        RaftReplica::Request request;
        SteadyTime queuedAt;
    };

    void run();
    /// Waits until a request may be sent, and takes it. Returns nothing once the link is stopping.
    std::optional<Message> take();
    void transmit(const Message &message);
    bool isStopping();

    /// Calls at the same time. With the default times, no more than this fit into the timeout.
    static constexpr std::size_t maximumCalls = 4;
    /// Longer than the timeout of other requests because a snapshot holds the whole catalogue, about 40 MB at target size.
    static constexpr std::chrono::milliseconds snapshotTimeout{5000};

    const Options options;
    const Hooks hooks;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    /// By the index of the request's kind.
    std::array<std::optional<Message>, std::variant_size_v<RaftReplica::Request>> waiting;
    std::size_t calls = 0;
    SteadyTime lastCallAt;
    std::vector<std::thread> threads;
};

} // namespace Hyssophall
