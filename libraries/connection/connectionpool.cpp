#include "connection/connectionpool.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

ConnectionPool::ConnectionPool(std::size_t maximumIdle, std::chrono::milliseconds maximumIdleTime)
    : maximumIdle(maximumIdle)
    , maximumIdleTime(maximumIdleTime)
{
}

std::unique_ptr<UpstreamConnection> ConnectionPool::acquire(SteadyTime now)
{
    // Destroyed after the lock is released, as closing a connection takes system calls.
    Connections unusable;
    std::lock_guard<std::mutex> lock(this->mutex);
    while (!this->idle.empty()) {
        std::unique_ptr<UpstreamConnection> connection = std::move(this->idle.back());
        this->idle.pop_back();
        if (now - connection->lastSuccess() <= this->maximumIdleTime && connection->isReusable()) {
            return connection;
        }
        unusable.push_back(std::move(connection));
    }
    return nullptr;
}

void ConnectionPool::release(std::unique_ptr<UpstreamConnection> connection)
{
    if (!connection->isReusable()) {
        return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    if (connection->lastSuccess() >= this->closedBefore && this->idle.size() < this->maximumIdle) {
        this->idle.push_back(std::move(connection));
    }
}

void ConnectionPool::closeOlderThan(SteadyTime time)
{
    Connections closed;
    std::lock_guard<std::mutex> lock(this->mutex);
    this->closedBefore = std::max(this->closedBefore, time);
    const Connections::iterator firstRemaining = std::stable_partition(
        this->idle.begin(), this->idle.end(), [time](const std::unique_ptr<UpstreamConnection> &connection) { return connection->lastSuccess() < time; });
    std::move(this->idle.begin(), firstRemaining, std::back_inserter(closed));
    this->idle.erase(this->idle.begin(), firstRemaining);
}

std::size_t ConnectionPool::closeIdle(SteadyTime now)
{
    this->closeOlderThan(now - this->maximumIdleTime);
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->idle.size();
}

} // namespace Hyssophall
