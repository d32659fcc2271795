#pragma once

#include "connection/httpmessage.h"
#include "process/hooks.h"

#include <chrono>
#include <optional>

namespace Hyssophall {

enum class UpstreamFailureKind {
    /// No connection was established within the connect timeout or the deadline.
    ConnectFailed,
    /// This VM is partitioned from all instances, and no other VM accepted the request.
    NoPath,
    /// UpstreamCall::mayBeSent returned false.
    RejectedBeforeSend,
    /// The caller disconnected while the request was in flight, so it was aborted.
    CallerDisconnected,
    TimedOut,
    /// The connection was closed or reset before any byte of a response.
    ConnectionLost,
    /// The response ended before its Content-Length or last chunk, its connection was reset, or it can't be parsed.
    ResponseIncomplete,
    ResponseTooLarge,
    /// The X-Request-Id of the response is that of another request.
    ResponseMismatched,
};

/// Why a try on an upstream has no complete response.
struct UpstreamFailure {
    UpstreamFailureKind kind = UpstreamFailureKind::ConnectFailed;
    /// False only if no byte of the request was sent.
    bool mayHaveSent = false;
    /// A reused connection timed out although a new one could be established. The connection was stale, so the timeout isn't the fault of the instance.
    bool staleConnection = false;
    /// The cause may lie between this VM and the instance, so the failure says nothing about the instance.
    bool isPathFailure = false;
};

/// Result of one try on an upstream: exactly one of response and failure is set.
struct UpstreamResult {
    std::optional<HttpResponse> response;
    std::optional<UpstreamFailure> failure;
    /// The request was sent on a connection that was open before.
    bool reusedConnection = false;
    /// When a new connection was established, whether or not the request was sent on it; empty if none was.
    std::optional<SteadyTime> connectionOpenedAt = std::nullopt;
    /// The VM that sent the request to the instance, if it wasn't this one.
    std::string forwardedThrough;
    /// Duration of the try, including connecting.
    std::chrono::microseconds latency{0};
};

} // namespace Hyssophall
