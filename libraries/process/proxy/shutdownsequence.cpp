#include "process/proxy/shutdownsequence.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Time that is left for the steps after the wait before the process is killed.
constexpr std::chrono::milliseconds exitReserve{300};

} // namespace

ShutdownSequence::ShutdownSequence(const Settings::Shutdown &settings, Steps steps)
    : settings(settings)
    , steps(std::move(steps))
{
}

bool ShutdownSequence::run() const
{
    this->steps.markUnready();
    // The load balancer needs some time to detect that the VM isn't ready; the requests that it sends until then are served.
    this->steps.sleep(this->notice());
    this->steps.stopAccepting();
    const bool finished = this->steps.waitUntilIdle(this->waitLimit());
    // Leases are returned last, as requests in flight need them until they finish.
    this->steps.leaveFleet();
    return finished;
}

std::chrono::milliseconds ShutdownSequence::notice() const
{
    const std::chrono::milliseconds half = this->settings.killAfter / 2;
    return half.count() == 0 ? this->settings.drainNotice : std::min(this->settings.drainNotice, half);
}

std::chrono::milliseconds ShutdownSequence::waitLimit() const
{
    if (this->settings.killAfter.count() == 0) {
        return this->settings.drainLimit;
    }
    const std::chrono::milliseconds untilKill = this->settings.killAfter - this->notice() - exitReserve;
    return std::clamp(untilKill, std::chrono::milliseconds(0), this->settings.drainLimit);
}

} // namespace Hyssophall
