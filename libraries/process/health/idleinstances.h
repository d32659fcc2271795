#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace Hyssophall {

/// Ready instances of a service that got no request for a while, by what keeps this VM from choosing them; for the log.
struct IdleInstances {
    std::string service;
    /// Share of the service's requests that aren't served, from 0 to 1.
    double unservedShare = 0;
    std::size_t ready = 0;
    /// Instances that got no request of any VM, as far as this VM knows. Each is counted for one reason below.
    std::size_t idle = 0;
    /// The instance named a limit or a backoff, or is leaving.
    std::size_t restricted = 0;
    /// As many requests are counted in flight there as it takes.
    std::size_t full = 0;
    std::size_t unreachable = 0;
    std::size_t failed = 0;
    /// Nothing excludes the instance; others cost less.
    std::size_t costly = 0;
    /// The instance that is idle for the longest time, among those that nothing excludes if there are any.
    std::string longestIdle;
    /// Time since its last request; negative if there was none.
    std::chrono::milliseconds longestIdleTime{0};
};

} // namespace Hyssophall
