#pragma once

#include "connection/bytebudget.h"
#include "connection/upstreamsender.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * One HTTP connection to one upstream instance. Its libcurl handles are limited to this connection.
 *
 * By default libcurl repeats a request if a reused connection is closed without a response, which could run the request twice. A callback before each
 * transmission prevents that.
 */
class UpstreamConnection
{
public:
    /// What a response may use.
    struct ResponseLimits {
        /// Largest body.
        std::size_t maximumBytes = 0;
        /// Shared by the responses of all connections.
        std::shared_ptr<ByteBudget> budget;
    };

    /// Null if libcurl can't create a handle. Connects on the first send().
    static std::unique_ptr<UpstreamConnection> create(
        const std::string &host, std::uint16_t port, ResponseLimits limits, std::chrono::milliseconds connectTimeout);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// A time at which a try may end before the deadline of its request.
    struct AbortPoint {
        SteadyTime at;
        /// Asked at that time, or up to 100 ms later; the try ends if it returns true or is empty.
        std::function<bool()> mayAbort;
    };

    /// Sends the request at most once and waits for the complete response until the call's deadline or an abort point. Afterwards the connection may be
    /// used again only if isReusable() returns true.
    UpstreamResult send(const UpstreamCall &call, SteadyTime now, std::vector<AbortPoint> abortPoints);

    /// True if the connection is open and has no bytes to read. Such bytes would belong to the response to an earlier request.
    bool isReusable() const;

    /// Time of the last complete response.
    SteadyTime lastSuccess() const;

private:
    class Handle;

    explicit UpstreamConnection(std::unique_ptr<Handle> handle);

    std::unique_ptr<Handle> handle;
    SteadyTime successTime;
    /// Whether a response on this connection had the id of its request.
    bool returnsRequestIds = false;
};

} // namespace Hyssophall
