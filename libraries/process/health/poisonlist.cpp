#include "process/health/poisonlist.h"

namespace Hyssophall {

void PoisonList::markPoison(std::uint64_t fingerprint, SteadyTime until)
{
    SteadyTime &end = this->poisonUntil[fingerprint];
    end = std::max(end, until);
}

bool PoisonList::isPoison(std::uint64_t fingerprint, SteadyTime now) const
{
    const auto found = this->poisonUntil.find(fingerprint);
    return found != this->poisonUntil.end() && now < found->second;
}

void PoisonList::noteAnswered(std::uint64_t fingerprint, SteadyTime now)
{
    SteadyTime &at = this->answeredAt[fingerprint];
    // A fresh note is kept as it is, so that a frequent request doesn't fill the order with copies of itself.
    if (at != SteadyTime() && now - at < answeredMemory / 2) {
        return;
    }
    at = now;
    this->answeredOrder.push_back({fingerprint, now});
    while (this->answeredOrder.size() > maximumAnswered) {
        const AnsweredNote oldest = this->answeredOrder.front();
        this->answeredOrder.pop_front();
        const auto found = this->answeredAt.find(oldest.fingerprint);
        if (found != this->answeredAt.end() && found->second == oldest.at) {
            this->answeredAt.erase(found);
        }
    }
}

bool PoisonList::wasAnsweredLately(std::uint64_t fingerprint, SteadyTime now) const
{
    const auto found = this->answeredAt.find(fingerprint);
    return found != this->answeredAt.end() && now - found->second < answeredMemory;
}

void PoisonList::removeExpired(SteadyTime now)
{
    std::erase_if(this->poisonUntil, [now](const std::pair<const std::uint64_t, SteadyTime> &entry) { return now >= entry.second; });
    while (!this->answeredOrder.empty() && now - this->answeredOrder.front().at >= answeredMemory) {
        const AnsweredNote oldest = this->answeredOrder.front();
        this->answeredOrder.pop_front();
        const auto found = this->answeredAt.find(oldest.fingerprint);
        if (found != this->answeredAt.end() && found->second == oldest.at) {
            this->answeredAt.erase(found);
        }
    }
}

} // namespace Hyssophall
