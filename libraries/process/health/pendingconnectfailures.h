#pragma once

#include "process/hooks.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

namespace Hyssophall {

/**
 * Connections to instances that this VM couldn't establish, until it is known whether the instance or this VM's own path was the cause.
 *
 * A connection that is established afterwards shows that the path works, so the instance was the cause. Thread-safe.
 */
class PendingConnectFailures
{
public:
    enum class Cause {
        Instance,
        /// This VM's path, or not known in time.
        Other,
    };

    struct Settled {
        /// InstanceTable::handleOf() of the instance.
        std::uint32_t instance = 0;
        Cause cause = Cause::Other;
    };

    void add(std::uint32_t instance, SteadyTime now);

    /// Removes and returns the failures whose cause is known. @p isPartitioned and @p lastConnected are those of InstancePathMonitor.
    std::vector<Settled> settle(bool isPartitioned, std::optional<SteadyTime> lastConnected, SteadyTime now);

private:
    struct Failure {
        std::uint32_t instance = 0;
        SteadyTime at;
    };

    std::mutex mutex;
    /// Oldest first.
    std::vector<Failure> failures;
};

} // namespace Hyssophall
