#include "connection/upstreamclient.h"

#include "connection/connectprobe.h"

#include <vector>

namespace Hyssophall {

namespace {

std::vector<UpstreamConnection::AbortPoint> abortPointsOf(const UpstreamCall &call, bool isPooled, SteadyTime startTime)
{
    std::vector<UpstreamConnection::AbortPoint> points;
    if (!call.idempotent || !call.mayRetry) {
        return points;
    }
    if (call.tryDeadline) {
        points.push_back({*call.tryDeadline, call.mayBeAborted});
    }
    if (isPooled) {
        // A pooled connection may be stale; half of the time is left for a retry.
        points.push_back({startTime + (call.deadline - startTime) / 2, call.mayBeStale});
    }
    return points;
}

} // namespace

UpstreamClient::UpstreamClient(const Options &options)
    : options(options)
    , budget(std::make_shared<ByteBudget>(options.bufferedAnswerBytes))
{
}

UpstreamResult UpstreamClient::send(const UpstreamCall &call)
{
    const SteadyTime startTime = std::chrono::steady_clock::now();
    const std::shared_ptr<ConnectionPool> pool = this->poolOf({call.host, call.port});
    std::unique_ptr<UpstreamConnection> connection = call.idempotent && !call.newConnection ? pool->acquire(startTime) : nullptr;
    const bool isPooled = connection != nullptr;
    if (connection == nullptr) {
        connection = UpstreamConnection::create(call.host, call.port, {this->options.maximumAnswerBytes, this->budget}, this->options.connectTimeout);
    }
    UpstreamResult result;
    if (connection == nullptr) {
        result.failure = UpstreamFailure{UpstreamFailureKind::ConnectFailed, false, false};
        return result;
    }
    result = connection->send(call, startTime, abortPointsOf(call, isPooled, startTime));
    if (result.response) {
        pool->release(std::move(connection));
    } else {
        this->classifyTimeout(call, *pool, startTime, result);
    }
    const SteadyTime endTime = std::chrono::steady_clock::now();
    result.latency = std::chrono::duration_cast<std::chrono::microseconds>(endTime - startTime);
    this->closeIdle(endTime);
    return result;
}

void UpstreamClient::classifyTimeout(const UpstreamCall &call, ConnectionPool &pool, SteadyTime startTime, UpstreamResult &result) const
{
    if (result.failure->kind != UpstreamFailureKind::TimedOut || !result.reusedConnection) {
        return;
    }
    if (canConnect(call.host, call.port, this->options.probeTimeout)) {
        result.failure->staleConnection = true;
        // Whatever made this connection stale may have affected every connection that has had no response since this try began.
        pool.closeOlderThan(startTime);
    }
}

std::size_t UpstreamClient::mostBufferedBytes() const
{
    return this->budget->mostTaken();
}

std::size_t UpstreamClient::poolCount() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->pools.size();
}

std::shared_ptr<ConnectionPool> UpstreamClient::poolOf(const Address &address)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::shared_ptr<ConnectionPool> &pool = this->pools[address];
    if (pool == nullptr) {
        pool = std::make_shared<ConnectionPool>(this->options.maximumIdle, this->options.maximumIdleTime);
    }
    return pool;
}

void UpstreamClient::closeIdle(SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (now < this->nextIdleCheck) {
        return;
    }
    this->nextIdleCheck = now + std::chrono::seconds(1);
    for (std::map<Address, std::shared_ptr<ConnectionPool>>::iterator entry = this->pools.begin(); entry != this->pools.end();) {
        // A pool that a request is using isn't removed, as the request returns its connection to it.
        const bool unused = entry->second->closeIdle(now) == 0 && entry->second.use_count() == 1;
        entry = unused ? this->pools.erase(entry) : std::next(entry);
    }
}

} // namespace Hyssophall
