#pragma once

#include "process/hooks.h"

#include <string>

namespace Hyssophall {

/// Interface for limiting retries. Without a limit, retries multiply the load on upstreams while these are failing. Thread-safe.
class RetryLimiter
{
public:
    virtual ~RetryLimiter() = default;

    /// Counts a caller's request to a service; the number of retries allowed is a share of the requests.
    virtual void addRequest(const std::string &service, SteadyTime now) = 0;

    /// Acquires one retry on a service. False if the limit is reached, in which case the request must not be retried.
    virtual bool tryAcquire(const std::string &service, SteadyTime now) = 0;
};

} // namespace Hyssophall
