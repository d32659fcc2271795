#include "connection/upstreamclient.h"

#include "connection/connectprobe.h"

#include <algorithm>

namespace Hyssophall {

UpstreamClient::UpstreamClient(const Options &options)
    : options(options)
{
}

UpstreamResult UpstreamClient::send(const UpstreamCall &call)
{
    const SteadyTime began = std::chrono::steady_clock::now();
    const std::shared_ptr<ConnectionPool> pool = this->poolOf({call.host, call.port});
    std::unique_ptr<UpstreamConnection> connection = call.idempotent && !call.newConnection ? pool->take(began) : nullptr;
    SteadyTime deadline = call.deadline;
    if (call.idempotent && call.mayFollow && call.patienceEnd) {
        deadline = std::min(deadline, *call.patienceEnd);
    } else if (connection != nullptr && call.mayFollow) {
        // A kept connection may have gone silent; half of the time is left for another try.
        deadline = began + (call.deadline - began) / 2;
    }
    if (connection == nullptr) {
        connection = UpstreamConnection::create(call.host, call.port, this->options.maximumAnswerBytes, this->options.connectTimeout);
    }
    UpstreamResult result;
    if (connection == nullptr) {
        result.failure = UpstreamFailure{UpstreamFailureKind::ConnectFailed, false, false};
        return result;
    }
    result = connection->send(call, began, deadline);
    if (result.answer) {
        pool->giveBack(std::move(connection));
    } else {
        this->judgeTimeOut(call, *pool, began, result);
    }
    const SteadyTime ended = std::chrono::steady_clock::now();
    result.latency = std::chrono::duration_cast<std::chrono::microseconds>(ended - began);
    this->retireIdle(ended);
    return result;
}

void UpstreamClient::judgeTimeOut(const UpstreamCall &call, ConnectionPool &pool, SteadyTime began, UpstreamResult &result) const
{
    if (result.failure->kind != UpstreamFailureKind::TimedOut || !result.reusedConnection) {
        return;
    }
    if (canConnect(call.host, call.port, this->options.probeLimit)) {
        result.failure->silentConnection = true;
        // Whatever silenced this connection may have silenced all that haven't answered since.
        pool.retireOlderThan(began);
    }
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

void UpstreamClient::retireIdle(SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (now < this->nextSweep) {
        return;
    }
    this->nextSweep = now + std::chrono::seconds(1);
    for (std::map<Address, std::shared_ptr<ConnectionPool>>::iterator entry = this->pools.begin(); entry != this->pools.end();) {
        // A pool in use by a request is kept, as that request's connection comes back to it.
        const bool unused = entry->second->retireIdle(now) == 0 && entry->second.use_count() == 1;
        entry = unused ? this->pools.erase(entry) : std::next(entry);
    }
}

} // namespace Hyssophall
