#pragma once

#include "process/hooks.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace Hyssophall {

/**
 * Counts for each request fingerprint the distinct instances whose connection was lost while they ran the request.
 *
 * Used on the VM that holds the lease of the fingerprint's shard. Not thread-safe.
 */
class CrashRegistry
{
public:
    /// Number of lost instances from which a request is poison.
    static constexpr std::size_t poisonThreshold = 2;
    /// Time after the last loss in which the losses of a fingerprint are kept, and validity of a poison record.
    static constexpr std::chrono::minutes retention{10};
    /// New fingerprints are ignored while this many unexpired ones are stored, which limits the memory to about 10 MB.
    static constexpr std::size_t maximumFingerprints = 65536;

    /// Records that @p instance was lost. Returns true if the request is poison, that is, enough instances were lost to it.
    bool report(std::uint64_t fingerprint, const std::string &instance, SteadyTime now);

    /// Removes expired fingerprints. Called at regular intervals.
    void removeExpired(SteadyTime now);

private:
    struct Crashes {
        std::set<std::string> instances;
        SteadyTime lastAt;
    };

    std::unordered_map<std::uint64_t, Crashes> crashes;
};

} // namespace Hyssophall
