#pragma once

#include "process/hooks.h"

#include <string>

namespace Hyssophall {

/// Interface to the bound on retries, which would otherwise multiply the load on upstreams just when they fail. Thread-safe.
class RetryAllowance
{
public:
    virtual ~RetryAllowance() = default;

    /// Counts a request of a caller for a service.
    virtual void addRequest(const std::string &service, SteadyTime now) = 0;

    /// Takes one retry on a service. False when none is left.
    virtual bool tryTake(const std::string &service, SteadyTime now) = 0;
};

} // namespace Hyssophall
