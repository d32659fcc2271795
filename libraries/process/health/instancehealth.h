#pragma once

#include "process/fleet/instancedirectory.h"
#include "process/health/instancequery.h"
#include "process/hooks.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// How one try of a request on an instance ended.
enum class TryOutcome {
    Answered,
    /// A 5xx answer of the instance.
    ServerError,
    /// Shed with the proof that nothing ran.
    Shed,
    ConnectFailed,
    /// Another instance has the address now; nothing ran.
    WrongInstance,
    TimedOut,
    /// The connection was lost after sending and before an answer.
    ConnectionLost,
    AnswerIncomplete,
    /// Ended by the caller or by a silent connection; says nothing about the instance.
    Neutral,
};

/// Interface to the choice of instances and their judgement by outcomes. Thread-safe.
class InstanceHealth
{
public:
    virtual ~InstanceHealth() = default;

    /// Chooses an instance for a try; nothing when none is left. Counts it as in flight.
    virtual std::optional<hyssophall::fleet::v1::Instance> choose(const InstanceQuery &query) = 0;

    /// How long a try of an idempotent request may take before another instance is tried; nothing when that isn't known.
    virtual std::optional<std::chrono::milliseconds> patience(const std::string &) const
    {
        return std::nullopt;
    }

    /// Ends the try that choose() began. @p fingerprint is the request's. After a lost connection this waits for the owner of the fingerprint,
    /// 100 ms at most, so that a poison request is known as such before it is tried again.
    virtual void finish(const hyssophall::fleet::v1::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint) = 0;

    /// What is known of an instance that was chosen, and how old that is; for the log.
    virtual std::string explain(const std::string &) const
    {
        return {};
    }

    /// True for a request that has felled instances; it must not be sent.
    virtual bool isPoison(std::uint64_t fingerprint) const = 0;
};

} // namespace Hyssophall
