#pragma once

#include "process/hooks.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace Hyssophall {

/**
 * The fingerprints of requests that are poison, and of requests with a recent response.
 *
 * A request with a recent response can't be poison. If its connection was lost, it was in flight on an instance that another request crashed.
 * Not thread-safe.
 */
class PoisonList
{
public:
    /// Time for which a response counts as recent.
    static constexpr std::chrono::seconds responseRetention{60};
    /// Number of recent responses beyond which the oldest are removed.
    static constexpr std::size_t maximumResponses = 65536;

    void markPoison(std::uint64_t fingerprint, SteadyTime until);
    bool isPoison(std::uint64_t fingerprint, SteadyTime now) const;

    void recordResponse(std::uint64_t fingerprint, SteadyTime now);
    bool hasRecentResponse(std::uint64_t fingerprint, SteadyTime now) const;

    void removeExpired(SteadyTime now);

private:
    struct ResponseEntry {
        std::uint64_t fingerprint;
        SteadyTime at;
    };

    std::unordered_map<std::uint64_t, SteadyTime> poisonUntil;
    std::unordered_map<std::uint64_t, SteadyTime> responseTimes;
    std::deque<ResponseEntry> responseOrder;
};

} // namespace Hyssophall
