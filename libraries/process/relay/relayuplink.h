#pragma once

#include "process/relay/relaychoice.h"
#include "process/relay/relaylink.h"

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
 * Keeps a VM connected to one relay, of its own failure domain when there is one.
 *
 * A VM moves on when its relay is silent or tells that it has lost the other relays, so that it hears of changes as long as it can
 * reach any relay that knows of them. When its relay goes on telling a later configuration than the one in force here, the VM connects
 * anew, since a relay answers each greeting with what the VM lacks. Thread-safe.
 */
class RelayUplink
{
public:
    struct Options {
        std::string failureDomain;
        /// Fleet addresses at which to begin.
        std::vector<std::string> seeds;
        std::string fleetSecret;
        RelayExchange::Timing timing;
    };

    struct Hooks {
        /// Counts the time that the machine was suspended.
        SteadyClock clock;
        RandomSource random;
        /// The first message on each connection; messages before @p nextNumber were lost unless they were confirmed.
        std::function<RelayMessages::News(std::uint64_t nextNumber)> greet;
        /// The relay has taken in all messages up to this number.
        std::function<void(std::uint64_t)> confirmed;
        /// A share of the fleet's VMs was heard all the time between these two. Called before what came with it is received.
        std::function<void(SteadyTime from, SteadyTime to, double share)> heard;
        std::function<void(const RelayMessages::News &)> receive;
        /// Whether this VM has a configuration.
        std::function<bool()> isConfigured;
        /// Version of the configuration in force on this VM.
        std::function<std::uint64_t()> configurationVersion;
    };

    RelayUplink(Options options, Hooks hooks);
    ~RelayUplink();
    RelayUplink(const RelayUplink &) = delete;
    RelayUplink &operator=(const RelayUplink &) = delete;

    /// News for the relay. Returns the number of the message that will hold it.
    std::uint64_t send(const RelayMessages::News &news);

    /// Share of the fleet's VMs that this VM hears of through its relay; its own part of the fleet while it is cut off.
    double visibleShare() const;

    /// What part of the fleet this VM is.
    double ownShare() const;

    /// Age of what this VM knows of the others: time since it sent the latest message that its relay has confirmed. The relay's own messages
    /// tell when they arrived and not when they were written, so a VM that stood still would take old ones for new. Nothing before the first
    /// confirmation.
    std::optional<std::chrono::milliseconds> knowledgeAge() const;

    /// Whether the relay was heard from lately and knows the latest.
    bool isCurrent() const;

private:
    void keepConnected();
    void receive(const RelayMessages::News &news);
    void noteSent(std::uint64_t sequence);
    RelayMessages::News greeting();
    // These are called with the mutex held.
    double toldShare() const;
    void takeConfirmation(std::uint64_t confirmed);
    void takeStatus(const RelayMessages::RelayStatus &status);
    void moveHome(SteadyTime now);
    void moveOnIfOutdated(SteadyTime now);
    void greetAnewIfBehind(SteadyTime now);

    const Options options;
    const Hooks hooks;
    NewsBuffer outgoing;
    mutable std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    RelayChoice choice;
    std::string connectedTo;
    std::unique_ptr<RelayLink> link;
    RelayMessages::RelayStatus status;
    std::optional<SteadyTime> statusHeard;
    struct SentMessage {
        std::uint64_t sequence = 0;
        SteadyTime at;
    };
    /// Messages on the present connection that the relay hasn't confirmed yet, oldest first.
    std::deque<SentMessage> sent;
    /// When the latest message that a relay has confirmed was sent.
    std::optional<SteadyTime> knownAsOf;
    /// Until when the present connection has told what others do; nothing before its first message.
    std::optional<SteadyTime> heardUntil;
    /// Since when the relay has told that it isn't current.
    std::optional<SteadyTime> outdatedSince;
    /// Since when the relay has told a later configuration than the one in force here.
    std::optional<SteadyTime> behindSince;
    std::thread thread;
};

} // namespace Hyssophall
