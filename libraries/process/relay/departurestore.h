#pragma once

#include "relay.pb.h"

#include <cstdint>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/// Interface of the durable record of instances that are draining or gone. Thread-safe.
class DepartureStore
{
public:
    virtual ~DepartureStore() = default;

    /// Queues a registration for storing. Returns its number; numbers increase by one from 1.
    virtual std::uint64_t add(const RelayMessages::Registration &registration) = 0;

    /// All registrations up to this number are stored and survive a loss of power.
    virtual std::uint64_t stored() const = 0;
};

} // namespace Hyssophall
