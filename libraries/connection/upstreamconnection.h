#pragma once

#include "connection/upstreamsender.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace Hyssophall {

/**
 * One HTTP connection to one upstream instance; its libcurl handle holds no other.
 *
 * libcurl sends a request again by itself when a reused connection closes without an answer. A callback before each sending stops that.
 */
class UpstreamConnection
{
public:
    static std::unique_ptr<UpstreamConnection> create(
        const std::string &host, std::uint16_t port, std::size_t maximumAnswerBytes, std::chrono::milliseconds connectTimeout);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// Sends the request once at most. The connection is of no further use unless isReusable() says so.
    UpstreamResult send(const UpstreamCall &call, SteadyTime now, SteadyTime deadline);

    /// True while the connection is open and silent. Readable bytes would belong to a late or crossed answer.
    bool isReusable() const;

    /// When the last whole answer came.
    SteadyTime lastSuccess() const;

private:
    class Handle;

    explicit UpstreamConnection(std::unique_ptr<Handle> handle);

    std::unique_ptr<Handle> handle;
    SteadyTime successTime;
};

} // namespace Hyssophall
