#pragma once

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
        std::size_t maximumAnswerBytes = 8 * 1024 * 1024;
        /// A connection within a region stands after a few milliseconds; a lost SYN is sent again after 1 s.
        std::chrono::milliseconds connectTimeout{1500};
        /// Idle connections that are kept for each instance. An instance takes about 350 connections, which 48 VMs share.
        std::size_t maximumIdle = 4;
        /// Middleboxes drop idle connections without a sign, so that connections aren't trusted for long.
        std::chrono::milliseconds maximumIdleTime{5000};
        /// How long a new connection may take that decides about a time-out on a reused one.
        std::chrono::milliseconds probeLimit{200};
    };

    explicit UpstreamClient(const Options &options);

    UpstreamResult send(const UpstreamCall &call) override;

    /// Number of instances that have a pool.
    std::size_t poolCount() const;

private:
    using Address = std::pair<std::string, std::uint16_t>;

    std::shared_ptr<ConnectionPool> poolOf(const Address &address);
    void retireIdle(SteadyTime now);
    void judgeTimeOut(const UpstreamCall &call, ConnectionPool &pool, SteadyTime began, UpstreamResult &result) const;

    const Options options;
    mutable std::mutex mutex;
    std::map<Address, std::shared_ptr<ConnectionPool>> pools;
    SteadyTime nextSweep;
};

} // namespace Hyssophall
