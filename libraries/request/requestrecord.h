#pragma once

#include "process/health/instancehealth.h"
#include "process/hooks.h"
#include "request/refusal.h"
#include "request/tracecontext.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/// One try of a request, for telemetry.
struct TryRecord {
    std::string spanId;
    std::string instance;
    std::chrono::system_clock::time_point began;
    std::chrono::microseconds duration{0};
    TryOutcome outcome = TryOutcome::Neutral;
    /// Zero without an answer.
    int status = 0;
    bool reusedConnection = false;
};

/// One finished request, for telemetry. It never holds a key.
struct RequestRecord {
    TraceContext trace;
    std::string method;
    std::string path;
    /// Empty before the route is known.
    std::string route;
    std::string service;
    /// Empty before the caller is known.
    std::string team;
    std::chrono::system_clock::time_point began;
    std::chrono::microseconds duration{0};
    /// The part of the duration that passed in tries on upstreams.
    std::chrono::microseconds upstreamDuration{0};
    int status = 0;
    std::optional<Refusal> refusal;
    std::vector<TryRecord> tries;
};

/// Interface to the receivers of finished requests. Thread-safe, non-blocking.
class RequestObserver
{
public:
    virtual ~RequestObserver() = default;
    virtual void requestFinished(const RequestRecord &record) = 0;
};

} // namespace Hyssophall
