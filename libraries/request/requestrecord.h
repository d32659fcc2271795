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

/// One try of a request, for telemetry.
struct TryRecord {
    std::string spanId;
    std::string instance;
    /// What was known of the instance when it was chosen, and how old that was.
    std::string grounds;
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
    /// The caller's X-Request-Id; empty without one.
    std::string requestId;
    /// Version of the catalogue that decided on the request; zero before that.
    std::uint64_t catalogueVersion = 0;
    /// The time that the request had, by its caller and its route.
    std::chrono::milliseconds limit{0};
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
    std::size_t answerBytes = 0;
    std::optional<Refusal> refusal;
    /// What the decision on the team's rate went by; empty when it was granted.
    std::string rateGrounds;
    /// Why no further try followed a failed one.
    std::string endGrounds;
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
