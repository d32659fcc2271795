#include "process/proxy/shutdownsequence.h"

#include <utility>

namespace Hyssophall {

ShutdownSequence::ShutdownSequence(const Settings::Shutdown &settings, Steps steps)
    : settings(settings)
    , steps(std::move(steps))
{
}

bool ShutdownSequence::run() const
{
    this->steps.markUnready();
    // The load balancer needs some time to detect that the VM isn't ready; the requests that it sends until then are served.
    this->steps.sleep(this->settings.drainNotice);
    this->steps.stopAccepting();
    const bool finished = this->steps.waitUntilIdle(this->settings.drainLimit);
    // Leases are returned last, as requests in flight need them until they finish.
    this->steps.leaveFleet();
    return finished;
}

} // namespace Hyssophall
