#include "process/fleet/rumorqueue.h"

#include <xxhash.h>

#include <vector>

namespace Hyssophall {

RumorQueue::RumorQueue(std::uint64_t salt)
    : salt(salt)
{
}

RumorQueue::Rank RumorQueue::rankOf(const Entry &entry)
{
    return {!entry.urgent, entry.sends, entry.tieBreak, entry.arrival};
}

void RumorQueue::add(const std::string &key, bool urgent, unsigned repetition)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto [position, added] = this->entries.try_emplace(key);
    if (!added) {
        this->ranked.erase(rankOf(position->second));
    }
    position->second = {urgent, 0, repetition, XXH64(key.data(), key.size(), this->salt), ++this->arrivals};
    this->ranked.emplace(rankOf(position->second), position);
}

void RumorQueue::countDuplicate(const std::string &key)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const Entries::iterator found = this->entries.find(key);
    if (found != this->entries.end()) {
        this->countSend(found);
    }
}

void RumorQueue::countSend(Entries::iterator position)
{
    this->ranked.erase(rankOf(position->second));
    ++position->second.sends;
    if (position->second.sends >= position->second.repetition) {
        this->entries.erase(position);
        return;
    }
    this->ranked.emplace(rankOf(position->second), position);
}

void RumorQueue::consumeByPriority(const Consumer &consumer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Entries::iterator> sent;
    std::vector<Entries::iterator> obsolete;
    for (const std::map<Rank, Entries::iterator>::value_type &candidate : this->ranked) {
        const ConsumeResult result = consumer(candidate.second->first);
        if (result == ConsumeResult::TooLarge) {
            break;
        }
        (result == ConsumeResult::Added ? sent : obsolete).push_back(candidate.second);
    }
    for (const Entries::iterator &position : sent) {
        this->countSend(position);
    }
    for (const Entries::iterator &position : obsolete) {
        this->ranked.erase(rankOf(position->second));
        this->entries.erase(position);
    }
}

std::size_t RumorQueue::size() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->entries.size();
}

} // namespace Hyssophall
