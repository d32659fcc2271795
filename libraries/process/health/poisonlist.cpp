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

void PoisonList::recordResponse(std::uint64_t fingerprint, SteadyTime now)
{
    SteadyTime &at = this->responseTimes[fingerprint];
    // A recent entry isn't renewed, so that a frequent request doesn't fill responseOrder with duplicates.
    if (at != SteadyTime() && now - at < responseRetention / 2) {
        return;
    }
    at = now;
    this->responseOrder.push_back({fingerprint, now});
    while (this->responseOrder.size() > maximumResponses) {
        const ResponseEntry oldest = this->responseOrder.front();
        this->responseOrder.pop_front();
        const auto found = this->responseTimes.find(oldest.fingerprint);
        if (found != this->responseTimes.end() && found->second == oldest.at) {
            this->responseTimes.erase(found);
        }
    }
}

bool PoisonList::hasRecentResponse(std::uint64_t fingerprint, SteadyTime now) const
{
    const auto found = this->responseTimes.find(fingerprint);
    return found != this->responseTimes.end() && now - found->second < responseRetention;
}

void PoisonList::removeExpired(SteadyTime now)
{
    std::erase_if(this->poisonUntil, [now](const std::pair<const std::uint64_t, SteadyTime> &entry) { return now >= entry.second; });
    while (!this->responseOrder.empty() && now - this->responseOrder.front().at >= responseRetention) {
        const ResponseEntry oldest = this->responseOrder.front();
        this->responseOrder.pop_front();
        const auto found = this->responseTimes.find(oldest.fingerprint);
        if (found != this->responseTimes.end() && found->second == oldest.at) {
            this->responseTimes.erase(found);
        }
    }
}

} // namespace Hyssophall
