#pragma once

#include "process/hooks.h"
#include "process/relay/counttable.h"
#include "relay.pb.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/// A position in the sequence of the messages that a relay has received from its own VMs.
struct ReportMark {
    std::uint64_t number = 0;
    /// When the message arrived.
    SteadyTime at;
};

/**
 * Queues updates to one receiver and merges them into one message. Counts of the same instance, team or service are summed, so a slow receiver
 * doesn't make them grow beyond one entry for each instance, team and service. Thread-safe.
 */
class UpdateBuffer
{
public:
    enum class Counts {
        /// Each message contains everything that was added before it.
        SentWithNextMessage,
        /// Counts that aren't urgent are held back for their own delay, even if a message with urgent updates is sent meanwhile.
        HeldBack,
    };

    explicit UpdateBuffer(Counts counts = Counts::SentWithNextMessage);

    /// Adds the content of @p update except for its greeting, sequence numbers and status. Returns the sequence of the message that will contain it;
    /// with Counts::HeldBack, a later message may contain its counts.
    std::uint64_t add(const RelayMessages::Update &update);

    /// The same for an update that results from the message at @p mark.
    void add(const RelayMessages::Update &update, const ReportMark &mark);

    /// Latest mark up to which all admissions are in messages with a sequence of @p confirmed or less. @p confirmed must not decrease.
    ReportMark reportedUpTo(std::uint64_t confirmed);

    /// Whether an update should be sent soon, since it changes which instances, relays or configuration the receiver uses or how it limits a
    /// team. Other updates only increase counts.
    static bool isUrgent(const RelayMessages::Update &update);

    /// How long a message is held back to collect further updates: with an urgent update in it, and without.
    struct BatchDelay {
        std::chrono::milliseconds urgent{4};
        std::chrono::milliseconds other{4};
        /// For outcomes that aren't urgent, with Counts::HeldBack; as for others if it is empty.
        std::optional<std::chrono::milliseconds> outcomes = std::nullopt;
    };

    /// Makes nextMessage() return without an update, such as for sending a confirmation.
    void wake();

    /// Makes this and each later call of nextMessage() return nothing.
    void close();

    /// Waits until there is an update, wake() or @p deadline, whichever is first, and then for further updates as @p batchDelay says.
    /// Replaces @p message by one that may be empty, with the next sequence; returns false once the buffer is closed. A caller that passes the same
    /// object each time spares most of the allocations.
    bool nextMessage(RelayMessages::Update &message, SteadyTime deadline, BatchDelay batchDelay);

    /// The same with a new message; nothing once the buffer is closed.
    std::optional<RelayMessages::Update> nextMessage(SteadyTime deadline, BatchDelay batchDelay);

    /// Sequence of the message that will contain what is added now.
    std::uint64_t nextSequence() const;

    /// Drops the queued outcomes and uses of services. Used before a new connection: what was queued while there was none is old, and the receivers
    /// would take it for new.
    void clearOutcomesAndUses();

    /// Drops the queued admissions of teams.
    void clearTeams();

    /// Drops all queued updates. Used before a new connection, whose first message contains the full state.
    void clear();

private:
    struct Outcomes {
        std::uint32_t key = 0;
        RelayMessages::InstanceOutcomes counts;
    };
    struct TeamUse {
        std::string key;
        std::uint32_t admitted = 0;
        bool isScarce = false;
    };

    // These are called with the mutex held.
    bool isEmpty() const;
    bool hasPending() const;
    void addCounts(const RelayMessages::Update &update, SteadyTime now);
    /// When the next message should be sent for what was added; the maximum if nothing was.
    SteadyTime dueTime() const;
    void takeOutcomes(RelayMessages::Update &message, bool onlyUrgent);
    void takeUses(RelayMessages::Update &message, bool onlyUrgent);

    const Counts counts;
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool closed = false;
    bool wakeRequested = false;
    /// As in the latest call of nextMessage().
    BatchDelay batchDelay;
    /// Until when nextMessage() sleeps; empty while it doesn't.
    std::optional<SteadyTime> wakesAt;
    /// When the oldest update of each kind was added; empty if there is none.
    std::optional<SteadyTime> urgentSince;
    std::optional<SteadyTime> otherSince;
    std::optional<SteadyTime> outcomesSince;
    std::uint64_t sequence = 0;
    ReportMark latestMark;
    /// A message with which all admissions up to a mark have been sent.
    struct Completed {
        std::uint64_t sequence = 0;
        ReportMark mark;
    };
    /// Messages that aren't known to be confirmed, oldest first.
    std::deque<Completed> completed;
    ReportMark confirmedMark;
    RelayMessages::Update pending;
    CountTable<Outcomes> outcomes;
    CountTable<TeamUse> teams;
    std::map<std::string, RelayMessages::ServiceUse> services;
};

} // namespace Hyssophall
