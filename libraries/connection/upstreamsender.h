#pragma once

#include "connection/upstreamresult.h"
#include "process/hooks.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Hyssophall {

/// One try of a request on one upstream instance.
struct UpstreamCall {
    /// Id of the instance and its failure domain; may be empty.
    std::string instance;
    std::string failureDomain;
    /// Numeric IPv4 or IPv6 address of the instance.
    std::string host;
    std::uint16_t port = 0;
    HttpRequest request;
    /// Non-idempotent requests are always sent on a new connection.
    bool idempotent = false;
    /// Requests a new connection. Set for retries: whatever made one pooled connection stale may have affected others.
    bool newConnection = false;
    /// Name of the header that tells the instance the time until the deadline, in milliseconds.
    std::string deadlineHeader = "X-Request-Timeout-Ms";
    /// Sent as X-Request-Id. A response with a different X-Request-Id is rejected, as it belongs to another request.
    std::string requestId;
    /// Deadline of the request.
    SteadyTime deadline;
    /// When this try is aborted so that a retry has time left, if mayBeAborted allows it then. If not set, that is for a try on a pooled connection when
    /// half of the remaining time is over. Neither applies if mayRetry is false, or to a request that isn't idempotent.
    std::optional<SteadyTime> tryDeadline;
    /// Asked at tryDeadline; if it returns false, the try goes on. On a pooled connection, which may be stale, half of the remaining time counts then. May
    /// be empty.
    std::function<bool()> mayBeAborted;
    /// Asked when half of the time is over for a try on a pooled connection; if it returns false, the try goes on until its deadline. May be empty.
    std::function<bool()> mayBeStale;
    /// Whether this try can be followed by a retry.
    bool mayRetry = true;
    /// Called when the connection is established, right before the first byte is sent. If it returns false, nothing is sent. May be empty.
    std::function<bool()> mayBeSent;
    /// Called several times per second while an idempotent request is in flight. If it returns true, the try is aborted. May be empty.
    std::function<bool()> isCallerDisconnected;
};

/// Interface of the HTTP client for upstreams. Thread-safe.
class UpstreamSender
{
public:
    virtual ~UpstreamSender() = default;

    /// Sends the request at most once and blocks until the complete response is received, the try fails or its deadline passes.
    virtual UpstreamResult send(const UpstreamCall &call) = 0;
};

} // namespace Hyssophall
