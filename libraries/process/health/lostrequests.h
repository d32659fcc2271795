#pragma once

#include "process/hooks.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace Hyssophall {

/**
 * Finds requests that crash each instance that runs them, by the connections that were lost after the same request had been sent.
 *
 * Connections are lost for other reasons, too, so it takes several instances, and an answer to the same request acquits it. Thread-safe.
 */
class LostRequests
{
public:
    /// Instances that must have been lost to the same request.
    static constexpr std::size_t instancesToJudge = 3;

    /// A request that was lost longer ago doesn't count, nor does a judgement.
    static constexpr std::chrono::seconds memory{30};

    void addLost(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime now);
    void addAnswered(std::uint64_t fingerprint);
    bool isPoison(std::uint64_t fingerprint, SteadyTime now) const;

private:
    using InstanceTimes = std::map<std::uint32_t, SteadyTime>;

    mutable std::mutex mutex;
    std::map<std::uint64_t, InstanceTimes> losses;
};

} // namespace Hyssophall
