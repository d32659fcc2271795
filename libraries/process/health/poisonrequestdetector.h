#pragma once

#include "process/hooks.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace Hyssophall {

/**
 * Detects poison requests, which crash each instance that runs them, by the connections that were lost after the same request was sent.
 *
 * Connections are lost for other reasons, too. A request is therefore poison only after losses on several instances, and a response to the
 * same request clears its losses. Thread-safe.
 */
class PoisonRequestDetector
{
public:
    /// Number of instances on which a request's connection must have been lost before it is poison.
    static constexpr std::size_t poisonThreshold = 3;

    /// Time after which a loss no longer counts, so that a request is no longer poison either.
    static constexpr std::chrono::seconds retention{30};

    void addLostConnection(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime now);
    void addResponse(std::uint64_t fingerprint);
    bool isPoison(std::uint64_t fingerprint, SteadyTime now) const;

private:
    using InstanceTimes = std::map<std::uint32_t, SteadyTime>;

    mutable std::mutex mutex;
    std::map<std::uint64_t, InstanceTimes> lostConnections;
};

} // namespace Hyssophall
