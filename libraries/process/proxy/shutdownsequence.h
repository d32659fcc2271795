#pragma once

#include "process/settings/settings.h"

#include <chrono>
#include <functional>

namespace Hyssophall {

/// The steps from SIGTERM to the exit, in their order.
class ShutdownSequence
{
public:
    /// What each step does.
    struct Steps {
        /// The balancer sees this VM as unready and callers' connections close after their next answer.
        std::function<void()> announce;
        std::function<void(std::chrono::milliseconds)> sleep;
        /// Takes no further connections and refuses further requests as not run.
        std::function<void()> stopAccepting;
        /// False when requests are still in flight at the limit.
        std::function<bool(std::chrono::milliseconds)> waitUntilIdle;
        /// Returns tokens and leases and leaves gossip.
        std::function<void()> leaveFleet;
    };

    ShutdownSequence(const Settings::Shutdown &settings, Steps steps);

    /// Returns true when no request was interrupted.
    bool run() const;

private:
    const Settings::Shutdown settings;
    const Steps steps;
};

} // namespace Hyssophall
