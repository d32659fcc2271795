#pragma once

#include "process/fleet/instancedirectory.h"
#include "process/health/instancequery.h"
#include "process/hooks.h"
#include "request/instancenotice.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// How one try of a request on an instance ended.
enum class TryOutcome {
    /// The instance sent any other complete response.
    Answered,
    /// The instance sent a 5xx response, or a status such as 429 without confirming that the request didn't run.
    ServerError,
    /// The instance rejected the request and confirmed that it didn't run.
    Shed,
    ConnectFailed,
    /// Another instance has the address now; the request didn't run.
    WrongInstance,
    TimedOut,
    /// The connection was lost after the request was sent and before the response began.
    ConnectionLost,
    /// The response was incomplete, too large, or not that of this request.
    AnswerIncomplete,
    /// Not sent, ended by the caller, or timed out on a stale pooled connection; says nothing about the state of the instance.
    Neutral,
};

/// Interface that chooses an instance for each try and records the outcomes. Used by the request path. Thread-safe.
class InstanceHealth
{
public:
    virtual ~InstanceHealth() = default;

    /// Chooses an instance for a try, and counts the try as in flight until finish(); nothing when no instance is left.
    virtual std::optional<hyssophall::fleet::v1::Instance> choose(const InstanceQuery &query) = 0;

    /// Timeout of one try of an idempotent request on the route with this name, after which another instance is tried; nothing while too few
    /// latencies are known.
    virtual std::optional<std::chrono::milliseconds> perTryTimeout(const std::string &) const
    {
        return std::nullopt;
    }

    /// Ends the try that choose() began. @p fingerprint identifies the content of the request. After a lost connection this may block to report
    /// it to the fleet, 100 ms at most for the owner of the fingerprint, so that a poison request is known before it is tried again.
    virtual void finish(const hyssophall::fleet::v1::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint) = 0;

    /// Called when a try that has ended opened a new connection to the instance at this time, before finish().
    virtual void connectionOpened(const hyssophall::fleet::v1::Instance &, SteadyTime)
    {
    }

    /// Called for each complete response of an instance, before finish(), with what the instance says about itself.
    virtual void noticed(const hyssophall::fleet::v1::Instance &, const InstanceNotice &)
    {
    }

    /// Time until an instance of the service that has sent Retry-After takes requests of this VM again; nothing if none has.
    virtual std::optional<std::chrono::milliseconds> shortestBackoff(const std::string &) const
    {
        return std::nullopt;
    }

    /// State of the instance with this id, for the log: what is known of it and how old that is.
    virtual std::string describeInstance(const std::string &) const
    {
        return {};
    }

    /// Whether the request is known to crash the instances that run it. Such a request must not be sent.
    virtual bool isPoison(std::uint64_t fingerprint) const = 0;

    /// Time until it is known whether the request crashes the instances that run it; nothing if it isn't suspected to. A suspected request must
    /// not be sent meanwhile.
    virtual std::optional<std::chrono::milliseconds> poisonSuspicion(std::uint64_t) const
    {
        return std::nullopt;
    }

    /// The lost connections by which the request is judged, for the log: the instances and the ages of the losses.
    virtual std::string describePoison(std::uint64_t) const
    {
        return {};
    }
};

} // namespace Hyssophall
