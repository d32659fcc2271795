#pragma once

#include "process/health/instancehealth.h"
#include "process/hooks.h"
#include "request/refusal.h"
#include "request/tracecontext.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/// One try of a request on an instance, for telemetry.
struct TryRecord {
    std::string spanId;
    /// Id of the instance.
    std::string instance;
    /// Why the instance was selected: the health data known about it at that time, and its age.
    std::string selectionReason;
    std::chrono::system_clock::time_point startTime;
    std::chrono::microseconds duration{0};
    TryOutcome outcome = TryOutcome::Neutral;
    /// HTTP status; zero if no complete response was received.
    int status = 0;
    bool reusedConnection = false;
    /// The VM that sent the request to the instance, if it wasn't this one.
    std::string forwardedThrough = {};
};

/// One finished request, for telemetry. It never contains the caller's key.
struct RequestRecord {
    TraceContext trace;
    /// The caller's X-Request-Id, truncated to 64 characters; empty without one.
    std::string requestId;
    /// Version of the catalogue in which the route was found; zero if none was found.
    std::uint64_t catalogueVersion = 0;
    /// Time limit of the request, the shorter of its caller's and its route's.
    std::chrono::milliseconds timeout{0};
    std::string method;
    std::string path;
    /// Name of the route; empty if none was found.
    std::string route;
    std::string service;
    /// Name of the caller's team; empty if the caller wasn't authenticated or the route is open.
    std::string team;
    std::chrono::system_clock::time_point startTime;
    std::chrono::microseconds duration{0};
    /// Total duration of the tries on upstreams.
    std::chrono::microseconds upstreamDuration{0};
    int status = 0;
    std::size_t responseBytes = 0;
    std::optional<Refusal> refusal;
    /// The figures on which the rate limiter based its refusal; empty if it granted a token.
    std::string rateDetails;
    /// The lost connections for which the request was refused as poison or as suspected of it.
    std::string poisonDetails;
    /// Why a failed try wasn't followed by a retry.
    std::string retryStopReason;
    std::vector<TryRecord> tries;
};

/// Interface for telemetry: is notified of every finished request. Implementations are thread-safe and must not block.
class RequestObserver
{
public:
    virtual ~RequestObserver() = default;
    virtual void requestFinished(const RequestRecord &record) = 0;
};

} // namespace Hyssophall
