#pragma once

#include "process/hooks.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace Hyssophall {

/**
 * A table whose entries end some time after they were last used, with a maximum size. Each use takes constant time on average: it removes
 * two outdated entries at most. In a full table, a new entry replaces one of those that haven't been used for long. Not thread-safe.
 */
template<typename Key, typename Value>
class ExpiringTable
{
public:
    ExpiringTable(std::chrono::milliseconds retention, std::size_t maximumSize)
        : retention(retention)
        , maximumSize(maximumSize)
    {
    }

    /// The entry with this key, which is created if there is none. The reference is valid until the next call.
    Value &use(const Key &key, SteadyTime now)
    {
        this->removeOutdated(now);
        const auto found = this->entries.find(key);
        if (found != this->entries.end()) {
            found->second.usedAt = now;
            return found->second.value;
        }
        if (this->entries.size() >= this->maximumSize) {
            this->entries.erase(this->order.front().second);
            this->order.pop_front();
        }
        this->order.emplace_back(now, key);
        Entry &entry = this->entries[key];
        entry.usedAt = now;
        return entry.value;
    }

    Value *find(const Key &key)
    {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? nullptr : &found->second.value;
    }

    const Value *find(const Key &key) const
    {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? nullptr : &found->second.value;
    }

    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry {
        Value value;
        SteadyTime usedAt;
    };

    void removeOutdated(SteadyTime now)
    {
        constexpr int maximumSteps = 2;
        for (int step = 0; step < maximumSteps && !this->order.empty(); ++step) {
            const std::pair<SteadyTime, Key> oldest = this->order.front();
            const bool isFull = this->entries.size() >= this->maximumSize;
            if (now - oldest.first <= this->retention && !isFull) {
                return;
            }
            const auto found = this->entries.find(oldest.second);
            if (now - found->second.usedAt > this->retention) {
                this->entries.erase(found);
                this->order.pop_front();
            } else if (found->second.usedAt > oldest.first) {
                // Used since it came to this place.
                this->order.pop_front();
                this->order.emplace_back(found->second.usedAt, oldest.second);
            } else {
                return;
            }
        }
    }

    const std::chrono::milliseconds retention;
    const std::size_t maximumSize;
    std::unordered_map<Key, Entry> entries;
    /// Each key once, with a time at which it was used.
    std::deque<std::pair<SteadyTime, Key>> order;
};

} // namespace Hyssophall
