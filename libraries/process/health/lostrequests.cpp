#include "process/health/lostrequests.h"

#include <algorithm>

namespace Hyssophall {

void LostRequests::addLost(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (std::pair<const std::uint64_t, InstanceTimes> &entry : this->losses) {
        std::erase_if(entry.second, [now](const std::pair<const std::uint32_t, SteadyTime> &loss) { return now - loss.second > memory; });
    }
    std::erase_if(this->losses, [](const std::pair<const std::uint64_t, InstanceTimes> &entry) { return entry.second.empty(); });
    this->losses[fingerprint][instance] = now;
}

void LostRequests::addAnswered(std::uint64_t fingerprint)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->losses.erase(fingerprint);
}

bool LostRequests::isPoison(std::uint64_t fingerprint, SteadyTime now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->losses.find(fingerprint);
    if (found == this->losses.end()) {
        return false;
    }
    const std::ptrdiff_t recent = std::count_if(
        found->second.begin(), found->second.end(), [now](const std::pair<const std::uint32_t, SteadyTime> &loss) { return now - loss.second <= memory; });
    return static_cast<std::size_t>(recent) >= instancesToJudge;
}

} // namespace Hyssophall
