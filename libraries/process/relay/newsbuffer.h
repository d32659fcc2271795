#pragma once

#include "process/hooks.h"
#include "relay.pb.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/**
 * News on their way to one receiver. Counts of the same instance, team or service are added up, so the buffer's size is bounded by
 * their number however slow the receiver is. Thread-safe.
 */
class NewsBuffer
{
public:
    /// Adds all that @p news tells, but for its greeting, numbers and status. Returns the number of the message that will hold it.
    std::uint64_t add(const RelayMessages::News &news);

    /// Whether news should leave soon: what changes which instances or configuration a receiver uses. The rest only adds up to its counts.
    static bool isUrgent(const RelayMessages::News &news);

    /// How long the first piece of news waits for others to join it.
    struct Gathering {
        std::chrono::milliseconds urgent{4};
        std::chrono::milliseconds other{4};
    };

    /// Wakes the sender though there is no news, as for a confirmation.
    void wake();

    /// Wakes the sender for good.
    void close();

    /// Waits until there is news or @p deadline, whichever is first; then gathers more.
    /// Returns a message with the next number, or nothing once the buffer is closed.
    std::optional<RelayMessages::News> take(SteadyTime deadline, Gathering gathering);

    /// Number of the message that will hold what is added now.
    std::uint64_t nextSequence() const;

    /// Forgets what wasn't taken, as for a new connection whose greeting tells it all.
    void clear();

private:
    bool isEmpty() const;

    mutable std::mutex mutex;
    std::condition_variable changed;
    bool closed = false;
    bool awake = false;
    bool urgent = false;
    std::uint64_t sequence = 0;
    RelayMessages::News pending;
    std::map<std::uint32_t, RelayMessages::InstanceOutcomes> outcomes;
    std::map<std::string, RelayMessages::TeamUse> teams;
    std::map<std::string, RelayMessages::ServiceUse> services;
};

} // namespace Hyssophall
