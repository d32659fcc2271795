#include "process/control/peerlink.h"

#include <utility>

namespace Hyssophall {

namespace {

std::chrono::milliseconds wholeMilliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

PeerLink::PeerLink(Hooks hooks, std::chrono::milliseconds timeout)
    : hooks(std::move(hooks))
    , timeout(timeout)
    , thread([this] { this->run(); })
{
}

PeerLink::~PeerLink()
{
    this->stopping = true;
    this->queue.close();
    this->thread.join();
}

void PeerLink::send(const RaftReplica::Replica &peer, const RaftReplica::Request &request)
{
    this->queue.tryPush(Message{peer, request, std::chrono::steady_clock::now()});
}

void PeerLink::run()
{
    while (!this->stopping) {
        const std::optional<Message> message = this->queue.popUntil(std::chrono::steady_clock::now() + std::chrono::seconds(1));
        // A message that was queued for longer than the timeout behind a call that hung is out of date; the replica has queued newer ones since.
        if (message && std::chrono::steady_clock::now() - message->queuedAt < this->timeout) {
            this->transmit(*message);
        }
    }
}

void PeerLink::transmit(const Message &message)
{
    const bool snapshot = std::holds_alternative<ControlMessages::InstallSnapshotRequest>(message.request);
    const SteadyTime sentAt = std::chrono::steady_clock::now();
    const std::optional<RaftReplica::Reply> reply = this->hooks.call(message.request, snapshot ? snapshotTimeout : this->timeout);
    const SteadyTime repliedAt = std::chrono::steady_clock::now();
    if (reply && !this->stopping) {
        this->hooks.handleReply(message.peer, message.request, sentAt, *reply);
    }
    if (this->hooks.exchanged) {
        Durations durations;
        durations.queued = wholeMilliseconds(sentAt - message.queuedAt);
        durations.call = wholeMilliseconds(repliedAt - sentAt);
        durations.handling = wholeMilliseconds(std::chrono::steady_clock::now() - repliedAt);
        durations.hasReply = reply.has_value();
        this->hooks.exchanged(message.peer, durations);
    }
}

} // namespace Hyssophall
