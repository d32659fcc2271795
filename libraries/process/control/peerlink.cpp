#include "process/control/peerlink.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

std::chrono::milliseconds wholeMilliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

PeerLink::PeerLink(Options options, Hooks hooks)
    : options(options)
    , hooks(std::move(hooks))
{
    for (std::size_t number = 0; number < maximumCalls; ++number) {
        this->threads.emplace_back([this] { this->run(); });
    }
}

PeerLink::~PeerLink()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void PeerLink::send(const RaftReplica::Replica &peer, const RaftReplica::Request &request)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->waiting.at(request.index()) = Message{peer, request, std::chrono::steady_clock::now()};
    }
    this->changed.notify_one();
}

void PeerLink::run()
{
    while (const std::optional<Message> message = this->take()) {
        this->transmit(*message);
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            --this->calls;
        }
        this->changed.notify_one();
    }
}

std::optional<PeerLink::Message> PeerLink::take()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        const auto oldest = std::min_element(this->waiting.begin(),
            this->waiting.end(),
            [](const std::optional<Message> &left, const std::optional<Message> &right) { return left && (!right || left->queuedAt < right->queuedAt); });
        const SteadyTime now = std::chrono::steady_clock::now();
        const SteadyTime due = this->lastCallAt + this->options.longestHold;
        if (!*oldest) {
            this->changed.wait(lock);
        } else if (this->calls > 0 && now < due) {
            this->changed.wait_until(lock, due);
        } else {
            std::optional<Message> message;
            message.swap(*oldest);
            ++this->calls;
            this->lastCallAt = now;
            return message;
        }
    }
    return std::nullopt;
}

bool PeerLink::isStopping()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->stopping;
}

void PeerLink::transmit(const Message &message)
{
    const bool snapshot = std::holds_alternative<ControlMessages::InstallSnapshotRequest>(message.request);
    const SteadyTime sentAt = std::chrono::steady_clock::now();
    if (sentAt - message.queuedAt >= this->options.timeout) {
        // The replica has given up waiting for it.
        return;
    }
    const std::optional<RaftReplica::Reply> reply = this->hooks.call(message.request, snapshot ? snapshotTimeout : this->options.timeout);
    const SteadyTime repliedAt = std::chrono::steady_clock::now();
    if (reply && !this->isStopping()) {
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
