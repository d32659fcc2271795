#pragma once

#include "process/hooks.h"

#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// What the result of a request says about the capacity of its service.
enum class CapacitySignal {
    /// The upstream answered without a sign of overload.
    Answered,
    /// The upstream rejected the request because of overload, or it timed out.
    Overload,
    /// The result says nothing about capacity.
    Neutral,
};

/// Interface that limits the requests in flight to each service on this VM and shares them fairly between teams. Thread-safe.
class CapacityQueue
{
public:
    /// Permission to have one request in flight. Ends with finish(), or as Neutral when the permit is destroyed before.
    class Permit
    {
    public:
        virtual ~Permit() = default;
        virtual void finish(CapacitySignal signal, std::chrono::microseconds latency) = 0;
    };

    virtual ~CapacityQueue() = default;

    /// Blocks until the request may be sent. Returns null at the deadline, and at once when the team's queue is full. The teams share the capacity
    /// in proportion to their @p weight, which is greater than zero.
    virtual std::unique_ptr<Permit> acquire(const std::string &service, const std::string &team, double weight, SteadyTime deadline) = 0;
};

} // namespace Hyssophall
