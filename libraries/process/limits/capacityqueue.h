#pragma once

#include "process/hooks.h"

#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// How a request that held a permit ended, as far as the capacity of its service is concerned.
enum class CapacitySignal {
    Answered,
    /// The upstream shed the request or timed out.
    Overload,
    /// Says nothing about capacity.
    Neutral,
};

/// Interface to the shares of a service's capacity on this VM, fair between teams. Thread-safe.
class CapacityQueue
{
public:
    /// The right to have one request in flight; ends when finish() is called or the permit is destroyed (as Neutral).
    class Permit
    {
    public:
        virtual ~Permit() = default;
        virtual void finish(CapacitySignal signal, std::chrono::microseconds latency) = 0;
    };

    virtual ~CapacityQueue() = default;

    /// Waits for a turn; null at the deadline or when the team's queue is full. @p weight is the team's share.
    virtual std::unique_ptr<Permit> enter(const std::string &service, const std::string &team, double weight, SteadyTime deadline) = 0;
};

} // namespace Hyssophall
