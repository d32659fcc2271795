#pragma once

#include "connection/upstreamresult.h"
#include "process/hooks.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Hyssophall {

/// One request to one upstream instance.
struct UpstreamCall {
    /// IP number of the instance.
    std::string host;
    std::uint16_t port = 0;
    HttpRequest request;
    /// Non-idempotent requests get a new connection.
    bool idempotent = false;
    /// Asks for a new connection, as for a retry: whatever silenced one pooled connection may have silenced others.
    bool newConnection = false;
    /// Name of the header that tells the instance how many milliseconds are left.
    std::string deadlineHeader = "X-Request-Timeout-Ms";
    /// Sent as X-Request-Id; an answer with another one is refused as crossed.
    std::string requestId;
    SteadyTime deadline;
    /// When to end this try in favour of another one, if before the deadline. Without it, a try on a kept connection gets half of the time.
    std::optional<SteadyTime> patienceEnd;
    /// Whether another try may follow this one.
    bool mayFollow = true;
    /// Called once the connection stands, right before the first byte; false keeps the request from being sent. May be empty.
    std::function<bool()> mayBeSent;
    /// Asked several times a second while an idempotent request is in flight; true ends the try. May be empty.
    std::function<bool()> isAbandoned;
};

/// Interface to the upstream HTTP client. Thread-safe.
class UpstreamSender
{
public:
    virtual ~UpstreamSender() = default;

    /// Sends the request once at most and waits for the whole answer or the deadline.
    virtual UpstreamResult send(const UpstreamCall &call) = 0;
};

} // namespace Hyssophall
