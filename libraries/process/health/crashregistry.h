#pragma once

#include "process/hooks.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace Hyssophall {

/**
 * Counts for each request fingerprint the distinct instances that were lost while they ran it.
 *
 * Runs on the VM that holds the fingerprint's shard. Not thread-safe.
 */
class CrashRegistry
{
public:
    static constexpr std::size_t instancesThatProve = 2;
    static constexpr std::chrono::minutes memory{10};
    /// Oldest fingerprints are forgotten beyond this count, about 10 MB.
    static constexpr std::size_t maximumFingerprints = 65536;

    /// Notes that @p instance was lost. Returns true once the fingerprint has been seen on enough instances.
    bool report(std::uint64_t fingerprint, const std::string &instance, SteadyTime now);

    /// Forgets what is older than the memory. Called now and then.
    void removeExpired(SteadyTime now);

private:
    struct Crashes {
        std::set<std::string> instances;
        SteadyTime lastAt;
    };

    std::unordered_map<std::uint64_t, Crashes> crashes;
};

} // namespace Hyssophall
