#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace Hyssophall {

/// The records that this VM still passes on, by key. Thread-safe.
class RumorQueue
{
public:
    /// What became of a record that was offered for a message.
    enum class Offer {
        Added,
        TooLarge,
        /// The record is gone.
        Obsolete,
    };
    using Consumer = std::function<Offer(const std::string &key)>;

    /// @p salt differs between VMs, so that they don't all send the same records first and leave the others for later.
    explicit RumorQueue(std::uint64_t salt);

    /// Passes the record on to @p repetition peers, from the start again if it is queued already.
    void add(const std::string &key, bool urgent, unsigned repetition);

    /// A peer sent the record that is queued here: one send fewer is needed.
    void countKnownPeer(const std::string &key);

    /// Offers records, urgent ones first and then the least sent, until one is too large.
    void drainInto(const Consumer &consumer);

    std::size_t size() const;

private:
    struct Entry {
        bool urgent = false;
        unsigned sends = 0;
        unsigned repetition = 0;
        std::uint64_t shuffle = 0;
        std::uint64_t arrival = 0;
    };
    /// (not urgent, sends, shuffle, arrival).
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
