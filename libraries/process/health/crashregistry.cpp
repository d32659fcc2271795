#include "process/health/crashregistry.h"

namespace Hyssophall {

bool CrashRegistry::report(std::uint64_t fingerprint, const std::string &instance, SteadyTime now)
{
    if (this->crashes.size() >= maximumFingerprints && !this->crashes.contains(fingerprint)) {
        this->removeExpired(now);
    }
    if (this->crashes.size() >= maximumFingerprints && !this->crashes.contains(fingerprint)) {
        return false;
    }
    Crashes &entry = this->crashes[fingerprint];
    if (now - entry.lastAt > retention) {
        entry.instances.clear();
    }
    entry.lastAt = now;
    entry.instances.insert(instance);
    return entry.instances.size() >= poisonThreshold;
}

void CrashRegistry::removeExpired(SteadyTime now)
{
    std::erase_if(this->crashes, [now](const std::pair<const std::uint64_t, Crashes> &entry) { return now - entry.second.lastAt > retention; });
}

} // namespace Hyssophall
