#pragma once

#include "connection/bytebudget.h"
#include "connection/connectionpool.h"
#include "connection/upstreamsender.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace Hyssophall {

/// Sends requests to upstream instances over pooled connections. Thread-safe.
class UpstreamClient : public UpstreamSender
{
public:
    struct Options {
        /// Largest body of a response.
        std::size_t maximumAnswerBytes = 8 * 1024 * 1024;
        /// Bytes of bodies of over 64 KiB that are received at a time, over all requests. A response that finds no room fails.
        std::size_t bufferedAnswerBytes = 32 * 1024 * 1024;
        /// Within a region a connection is established in a few milliseconds. The kernel retransmits a lost SYN after 1 s, which this timeout allows for.
        std::chrono::milliseconds connectTimeout{1500};
        /// Idle connections kept for each instance. An instance accepts about 350 connections, which are shared by 48 VMs.
        std::size_t maximumIdle = 4;
        /// Middleboxes drop idle connections without notifying either end, so connections are reused only for a short time.
        std::chrono::milliseconds maximumIdleTime{5000};
        /// After a timeout on a reused connection, a new connection is opened as a probe. If it is established within this time, the instance is reachable
        /// and the reused connection was stale.
        std::chrono::milliseconds probeTimeout{200};
    };

    explicit UpstreamClient(const Options &options);

    UpstreamResult send(const UpstreamCall &call) override;

    /// Number of instances that have a pool.
    std::size_t poolCount() const;

    /// The most bytes of Options::bufferedAnswerBytes that were in use at a time.
    std::size_t mostBufferedBytes() const;

private:
    using Address = std::pair<std::string, std::uint16_t>;

    std::shared_ptr<ConnectionPool> poolOf(const Address &address);
    void closeIdle(SteadyTime now);
    void classifyTimeout(const UpstreamCall &call, ConnectionPool &pool, SteadyTime startTime, UpstreamResult &result) const;

    const Options options;
    const std::shared_ptr<ByteBudget> budget;
    mutable std::mutex mutex;
    std::map<Address, std::shared_ptr<ConnectionPool>> pools;
    SteadyTime nextIdleCheck;
};

} // namespace Hyssophall
