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
    /// Keeps @p maximumIdle connections at most, each for @p maximumIdleTime at most.
    ConnectionPool(std::size_t maximumIdle, std::chrono::milliseconds maximumIdleTime);

    /// The connection that was used last and is still fit for use, or null. Unfit ones are closed.
    std::unique_ptr<UpstreamConnection> take(SteadyTime now);

    /// Keeps a connection for reuse, unless it isn't fit or the pool is full.
    void giveBack(std::unique_ptr<UpstreamConnection> connection);

    /// Closes connections whose last whole answer came before @p time.
    void retireOlderThan(SteadyTime time);

    /// Closes connections that were idle for too long. Returns how many remain.
    std::size_t retireIdle(SteadyTime now);

private:
    using Connections = std::deque<std::unique_ptr<UpstreamConnection>>;

    const std::size_t maximumIdle;
    const std::chrono::milliseconds maximumIdleTime;
    std::mutex mutex;
    // In ascending order of the last use.
    Connections idle;
    SteadyTime retiredBefore;
};

} // namespace Hyssophall
