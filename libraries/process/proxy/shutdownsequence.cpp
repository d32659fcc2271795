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
    this->steps.announce();
    // The balancer needs time to notice; until then, requests that it sends are still served.
    this->steps.sleep(this->settings.drainNotice);
    this->steps.stopAccepting();
    const bool finished = this->steps.waitUntilIdle(this->settings.drainLimit);
    // Leases go last: requests in flight need them until their end.
    this->steps.leaveFleet();
    return finished;
}

} // namespace Hyssophall
