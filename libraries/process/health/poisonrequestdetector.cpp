#include "process/health/poisonrequestdetector.h"

#include <algorithm>

namespace Hyssophall {

void PoisonRequestDetector::addLostConnection(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (std::pair<const std::uint64_t, InstanceTimes> &entry : this->lostConnections) {
        std::erase_if(entry.second, [now](const std::pair<const std::uint32_t, SteadyTime> &loss) { return now - loss.second > retention; });
    }
    std::erase_if(this->lostConnections, [](const std::pair<const std::uint64_t, InstanceTimes> &entry) { return entry.second.empty(); });
    this->lostConnections[fingerprint][instance] = now;
}

void PoisonRequestDetector::addResponse(std::uint64_t fingerprint)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->lostConnections.erase(fingerprint);
}

bool PoisonRequestDetector::isPoison(std::uint64_t fingerprint, SteadyTime now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->lostConnections.find(fingerprint);
    if (found == this->lostConnections.end()) {
        return false;
    }
    const std::ptrdiff_t recent = std::count_if(
        found->second.begin(), found->second.end(), [now](const std::pair<const std::uint32_t, SteadyTime> &loss) { return now - loss.second <= retention; });
    return static_cast<std::size_t>(recent) >= poisonThreshold;
}

} // namespace Hyssophall
