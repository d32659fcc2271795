#pragma once

#include "process/settings/settings.h"

#include <chrono>
#include <functional>

namespace Hyssophall {

/// Runs the steps of a graceful shutdown, from SIGTERM to the exit of the process, in the required order.
class ShutdownSequence
{
public:
    /// The action of each step.
    struct Steps {
        /// Makes the readiness check of the load balancer fail and closes callers' connections after their next response.
        std::function<void()> markUnready;
        std::function<void(std::chrono::milliseconds)> sleep;
        /// Refuses further requests with the outcome "not run".
        std::function<void()> stopAccepting;
        /// Waits until no request is in flight; false if the limit passes first.
        std::function<bool(std::chrono::milliseconds)> waitUntilIdle;
        /// Returns tokens and leases to the fleet and leaves the gossip membership. Further requests are still refused.
        std::function<void()> leaveFleet;
    };

    ShutdownSequence(const Settings::Shutdown &settings, Steps steps);

    /// Blocks until all steps are done. False if requests were still in flight at the drain limit.
    bool run() const;

private:
    /// How long requests are still accepted: half of the time until the process is killed at most.
    std::chrono::milliseconds notice() const;
    /// How long requests in flight are waited for after that: the drain limit, or less if the process is killed earlier.
    std::chrono::milliseconds waitLimit() const;

    const Settings::Shutdown settings;
    const Steps steps;
};

} // namespace Hyssophall
