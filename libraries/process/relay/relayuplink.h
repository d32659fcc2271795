#pragma once

#include "process/relay/relaylink.h"
#include "process/relay/relaymoves.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Hyssophall {

/**
 * Keeps a VM connected to one relay, preferably one of its own failure domain.
 *
 * The VM connects to another relay when its relay is silent or reports that it isn't current, so that the VM receives changes as long as it
 * can reach any relay that has them. When the relay keeps reporting a later configuration than the one in force on the VM, the VM reconnects,
 * since a relay responds to each greeting with the configuration that the VM lacks. Thread-safe.
 */
class RelayUplink
{
public:
    struct Options {
        std::string failureDomain;
        /// Fleet addresses of the relays that are known at the start.
        std::vector<std::string> seeds;
        std::string fleetSecret;
        RelayExchange::Timing timing;
    };

    struct Hooks {
        /// Must include the time for which the machine was suspended.
        SteadyClock clock;
        RandomSource random;
        /// Returns the first message for each connection. Its argument drops the admissions that were queued by send() and haven't been sent. The
        /// first call may come before the constructor has returned.
        std::function<RelayMessages::Update(const std::function<void()> &dropQueuedAdmissions)> makeGreeting;
        /// The relay has applied all messages up to this sequence.
        std::function<void(std::uint64_t)> confirmed;
        /// A majority of the relays has received the admissions in all messages up to this sequence, the last of which was sent at the given time. May
        /// be empty.
        std::function<void(std::uint64_t, SteadyTime)> replicated;
        /// The relay counted VMs as visible since the given time that it had lost; the share of the others is given. May be empty.
        std::function<void(SteadyTime, double)> limitVisibleShare;
        /// The updates of a share of the fleet's VMs (0 to 1) have been received for this period. Called before receive() with the same message.
        std::function<void(SteadyTime from, SteadyTime to, double share)> recordVisibleShare;
        std::function<void(const RelayMessages::Update &)> receive;
        /// Whether this VM has a configuration.
        std::function<bool()> isConfigured;
        /// Version of the configuration in force on this VM.
        std::function<std::uint64_t()> configurationVersion;
    };

    RelayUplink(Options options, Hooks hooks);
    ~RelayUplink();
    RelayUplink(const RelayUplink &) = delete;
    RelayUplink &operator=(const RelayUplink &) = delete;

    /// Queues an update for the relay. Returns the sequence of the message that will contain it.
    std::uint64_t send(const RelayMessages::Update &update);

    /// Share of the fleet's VMs whose updates this VM receives, as its relay reports it; ownShare() while the VM is partitioned from the relays.
    double visibleShare() const;

    /// Share of this VM in the fleet: 1 / number of VMs.
    double ownShare() const;

    /// Age of what this VM knows of the other VMs: the time since it sent the latest message that its relay has confirmed. The arrival times of the
    /// relay's messages can't be used, since a VM that was suspended receives old messages late and would take them for new ones. Empty
    /// before the first confirmation.
    std::optional<std::chrono::milliseconds> knowledgeAge() const;

    /// Whether the relay has confirmed a message of this VM that was sent within the last 500 ms, and the stream hasn't ended.
    bool receivesUpdates() const;

    /// Whether the relay sent its status within the last 500 ms and reported that it is current.
    bool isCurrent() const;

    /// Whether isCurrent() holds and the relay reported no later configuration than the one in force on this VM.
    bool hasLatestConfiguration() const;

    /// Number of connections to relays that ended or weren't established for this reason.
    std::uint64_t moveCount(RelayMoves::Reason reason) const;

private:
    struct SentMessage {
        std::uint64_t sequence = 0;
        SteadyTime at;
    };

    void keepConnected();
    void receive(const RelayMessages::Update &update);
    void recordSent(std::uint64_t sequence);
    RelayMessages::Update greeting();
    UpdateBuffer::BatchDelay batchDelay() const;
    // These are called with the mutex held.
    RelayLink::Options linkOptions(const std::string &address) const;
    void recordEnd(const std::string &address, bool hasReceived);
    double reportedShare() const;
    bool isConfirmedLately() const;
    void applyConfirmation(std::uint64_t confirmed);
    /// Returns the latest message that a majority of the relays has, if it is one that wasn't reported before.
    std::optional<SentMessage> applyReplicated(const RelayMessages::Update &update);
    void applyStatus(const RelayMessages::Update &update);

    const Options options;
    const Hooks hooks;
    UpdateBuffer outgoing;
    mutable std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    RelayMoves moves;
    std::string connectedTo;
    /// How long the relay of the present connection refuses this VM; empty if it has accepted it.
    std::optional<std::chrono::milliseconds> refusal;
    std::unique_ptr<RelayLink> link;
    RelayMessages::RelayStatus status;
    std::optional<SteadyTime> statusReceivedAt;
    /// Messages on the present connection that the relay hasn't confirmed yet, oldest first.
    std::deque<SentMessage> sent;
    /// The same for messages that a majority of the relays may not have.
    std::deque<SentMessage> unreplicated;
    /// Whether the relay of the present connection reports which messages these are.
    bool reportsReplicated = false;
    /// When the latest message that a relay has confirmed was sent.
    std::optional<SteadyTime> confirmedSentAt;
    /// End of the visible period of the present connection, for which it has delivered the updates of the other VMs. Empty before its first message.
    std::optional<SteadyTime> visibleUntil;
    std::thread thread;
};

} // namespace Hyssophall
