#pragma once

#include "process/hooks.h"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

/**
 * Decides from the results of new connections whether this VM is partitioned from all instances, as opposed to instances that have failed.
 *
 * The VM counts as partitioned when connections to several hosts have failed and none was established in between. Requests on connections that
 * were open before aren't evidence, since these may go on while new connections are refused. Thread-safe.
 */
class InstancePathMonitor
{
public:
    struct Hooks {
        SteadyClock clock;
        /// Called without a lock held when the decision changes, with the number of hosts to which connections failed; may be empty.
        std::function<void(bool isPartitioned, std::size_t failedHosts)> changed;
    };

    explicit InstancePathMonitor(Hooks hooks);

    /// A new connection to an instance on @p host was established at this time, which may be some seconds ago. One that is older than the latest
    /// failure shows nothing.
    void recordConnected(const std::string &host, SteadyTime at);

    /// No connection to an instance on @p host could be established. @p servesOthers: other VMs have had responses of the instance meanwhile, so
    /// that the instance is unlikely to be the cause.
    void recordConnectFailed(const std::string &host, bool servesOthers);

    bool isPartitioned() const;

    /// When a new connection was last established; empty before the first.
    std::optional<SteadyTime> lastConnected() const;

private:
    struct Failure {
        SteadyTime at;
        bool servesOthers = false;
    };

    bool hasEnoughEvidence() const;

    const Hooks hooks;
    mutable std::mutex mutex;
    /// Latest failure for each host since a connection was last established.
    std::map<std::string, Failure> failures;
    std::optional<SteadyTime> connectedAt;
    std::optional<SteadyTime> failedAt;
    bool partitioned = false;
    /// Connections established in a row while partitioned.
    int connectedInARow = 0;
};

} // namespace Hyssophall
