#include "connection/connectionpool.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

ConnectionPool::ConnectionPool(std::size_t maximumIdle, std::chrono::milliseconds maximumIdleTime)
    : maximumIdle(maximumIdle)
    , maximumIdleTime(maximumIdleTime)
{
}

std::unique_ptr<UpstreamConnection> ConnectionPool::take(SteadyTime now)
{
    // Closed after the lock is released: closing takes system calls.
    Connections unfit;
    std::lock_guard<std::mutex> lock(this->mutex);
    while (!this->idle.empty()) {
        std::unique_ptr<UpstreamConnection> connection = std::move(this->idle.back());
        this->idle.pop_back();
        if (now - connection->lastSuccess() <= this->maximumIdleTime && connection->isReusable()) {
            return connection;
        }
        unfit.push_back(std::move(connection));
    }
    return nullptr;
}

void ConnectionPool::giveBack(std::unique_ptr<UpstreamConnection> connection)
{
    if (!connection->isReusable()) {
        return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    if (connection->lastSuccess() >= this->retiredBefore && this->idle.size() < this->maximumIdle) {
        this->idle.push_back(std::move(connection));
    }
}

void ConnectionPool::retireOlderThan(SteadyTime time)
{
    Connections retired;
    std::lock_guard<std::mutex> lock(this->mutex);
    this->retiredBefore = std::max(this->retiredBefore, time);
    const Connections::iterator firstKept = std::stable_partition(
        this->idle.begin(), this->idle.end(), [time](const std::unique_ptr<UpstreamConnection> &connection) { return connection->lastSuccess() < time; });
    std::move(this->idle.begin(), firstKept, std::back_inserter(retired));
    this->idle.erase(this->idle.begin(), firstKept);
}

std::size_t ConnectionPool::retireIdle(SteadyTime now)
{
    this->retireOlderThan(now - this->maximumIdleTime);
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->idle.size();
}

} // namespace Hyssophall
