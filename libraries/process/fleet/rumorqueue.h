#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace Hyssophall {

/// Priority queue of the keys of the records that this VM is still sending to other VMs. Thread-safe.
class RumorQueue
{
public:
    /// What a consumer did with a record.
    enum class ConsumeResult {
        /// The record was added to a message.
        Added,
        /// The record doesn't fit into the message.
        TooLarge,
        /// The record no longer exists.
        Obsolete,
    };
    using Consumer = std::function<ConsumeResult(const std::string &key)>;

    /// @p salt makes the order of equally urgent records differ between VMs, so that not all VMs send the same records first.
    explicit RumorQueue(std::uint64_t salt);

    /// Queues a record for @p repetition sends. If it is queued already, the count of sends starts again.
    void add(const std::string &key, bool urgent, unsigned repetition);

    /// Called when a peer sends a record that this VM has already: that peer needs no copy, so it counts as one send.
    void countDuplicate(const std::string &key);

    /// Calls @p consumer with one key after another, urgent records first and then those with the fewest sends, until a record
    /// is too large. Counts a send of each added record.
    void consumeByPriority(const Consumer &consumer);

    std::size_t size() const;

private:
    struct Entry {
        bool urgent = false;
        unsigned sends = 0;
        unsigned repetition = 0;
        std::uint64_t tieBreak = 0;
        std::uint64_t arrival = 0;
    };
    /// (not urgent, sends, tieBreak, arrival).
    using Rank = std::tuple<bool, unsigned, std::uint64_t, std::uint64_t>;
    using Entries = std::map<std::string, Entry, std::less<>>;

    static Rank rankOf(const Entry &entry);
    void countSend(Entries::iterator position);

    const std::uint64_t salt;
    mutable std::mutex mutex;
    Entries entries;
    std::map<Rank, Entries::iterator> ranked;
    std::uint64_t arrivals = 0;
};

} // namespace Hyssophall
