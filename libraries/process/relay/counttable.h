#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace Hyssophall {

/**
 * Entries by key, in a vector with an open hash index. @p Entry has a default constructor and a member `key`.
 *
 * Unlike a map with nodes, it allocates nothing once it has reached its size: a relay fills and empties a few of these tables for each of its VMs many
 * times a second. Not thread-safe.
 */
template<typename Entry>
class CountTable
{
public:
    using Key = decltype(Entry::key);

    /// The entry with this key, which is added if there is none. Valid until the next call.
    Entry &operator[](const Key &key)
    {
        if (2 * (this->entries.size() + 1) > this->slots.size()) {
            this->resizeIndex(std::max(minimumSlots, 2 * this->slots.size()));
        }
        std::size_t &slot = this->slots[this->slotOf(key)];
        if (slot == freeSlot) {
            this->entries.emplace_back();
            this->entries.back().key = key;
            slot = this->entries.size();
        }
        return this->entries[slot - 1];
    }

    bool empty() const
    {
        return this->entries.empty();
    }

    void clear()
    {
        this->entries.clear();
        std::fill(this->slots.begin(), this->slots.end(), freeSlot);
    }

    /// Passes each entry to @p take and removes those for which it returns true.
    void removeIf(const std::function<bool(Entry &)> &take)
    {
        if (std::erase_if(this->entries, take) > 0) {
            this->resizeIndex(this->slots.size());
        }
    }

private:
    static constexpr std::size_t minimumSlots = 16;
    static constexpr std::size_t freeSlot = 0;
    /// 2^64 divided by the golden ratio: spreads hashes that are the keys themselves.
    static constexpr std::uint64_t hashMultiplier = 0x9E3779B97F4A7C15U;
    static constexpr unsigned hashShift = 32;

    /// The slot of this key, or the free one where it belongs.
    std::size_t slotOf(const Key &key) const
    {
        const std::size_t mask = this->slots.size() - 1;
        std::size_t position = static_cast<std::size_t>((std::hash<Key>()(key) * hashMultiplier) >> hashShift) & mask;
        while (this->slots[position] != freeSlot && this->entries[this->slots[position] - 1].key != key) {
            position = (position + 1) & mask;
        }
        return position;
    }

    void resizeIndex(std::size_t size)
    {
        this->slots.assign(size, freeSlot);
        for (std::size_t number = 0; number < this->entries.size(); ++number) {
            this->slots[this->slotOf(this->entries[number].key)] = number + 1;
        }
    }

    std::vector<Entry> entries;
    /// A power of two of slots: the number of the entry, from 1 on, or freeSlot.
    std::vector<std::size_t> slots;
};

} // namespace Hyssophall
