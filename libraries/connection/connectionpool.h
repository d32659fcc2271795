#pragma once

#include "connection/upstreamconnection.h"

#include <deque>
#include <memory>
#include <mutex>

namespace Hyssophall {

/// The idle connections to one upstream instance. Thread-safe.
class ConnectionPool
{
public:
    /// Keeps at most @p maximumIdle idle connections, each until @p maximumIdleTime after its last complete response.
    ConnectionPool(std::size_t maximumIdle, std::chrono::milliseconds maximumIdleTime);

    /// Removes the most recently used connection that is still usable from the pool and returns it, or null. Closes unusable ones.
    std::unique_ptr<UpstreamConnection> acquire(SteadyTime now);

    /// Returns a connection to the pool. It is closed if it isn't reusable or the pool is full.
    void release(std::unique_ptr<UpstreamConnection> connection);

    /// Closes connections whose last complete response was received before @p time, now or when they are returned to the pool.
    void closeOlderThan(SteadyTime time);

    /// Closes connections that exceeded the maximum idle time. Returns the number of idle connections that remain.
    std::size_t closeIdle(SteadyTime now);

private:
    using Connections = std::deque<std::unique_ptr<UpstreamConnection>>;

    const std::size_t maximumIdle;
    const std::chrono::milliseconds maximumIdleTime;
    std::mutex mutex;
    // In ascending order of their last use.
    Connections idle;
    // Connections whose last complete response is older aren't accepted back.
    SteadyTime closedBefore;
};

} // namespace Hyssophall
