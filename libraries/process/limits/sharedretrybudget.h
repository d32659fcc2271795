#pragma once

#include "request/retryallowance.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Hyssophall {

/**
 * Limits the retries to each service, over all VMs together, to a ratio of the service's requests plus a slack.
 *
 * The VMs report their requests and retries to each other, and each counts those of all. A VM that sees less than most of the fleet decides by its
 * own requests and its own share of the slack. Thread-safe.
 */
class SharedRetryBudget : public RetryAllowance
{
public:
    struct Options {
        /// Retries that the deployment allows for each request in the window.
        double ratio = 0.1;
        /// Retries that it allows in each window beyond the ratio.
        double slack = 30;
        std::chrono::seconds window{10};
        /// Start of this process. Nothing is known of retries before.
        SteadyTime startTime;
    };

    struct Hooks {
        /// Share of the fleet's VMs whose reports arrive here, at most 1.
        std::function<double()> visibleShare;
        /// Share of the fleet that this VM is by itself: one divided by the number of VMs.
        std::function<double()> ownShare;
        /// Reports requests and retries of a service to the other VMs.
        std::function<void(const std::string &, std::uint32_t requests, std::uint32_t retries)> reportUse;
    };

    SharedRetryBudget(const Options &options, Hooks hooks);

    void addRequest(const std::string &service, SteadyTime now) override;
    bool tryTake(const std::string &service, SteadyTime now) override;

    /// Counts requests and retries that another VM reported.
    void addRemoteUse(const std::string &service, std::uint32_t requests, std::uint32_t retries, SteadyTime now);

private:
    /// Counts of a part of the window.
    struct Slice {
        SteadyTime start;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
        /// Those of this VM, which are included above.
        std::uint64_t ownRequests = 0;
        std::uint64_t ownRetries = 0;
    };

    bool isWithinBudget(const std::deque<Slice> &window, SteadyTime now) const;
    /// Removes expired slices and returns the one to count in at @p now.
    Slice &currentSlice(const std::string &service, SteadyTime now);

    const Options options;
    const Hooks hooks;
    std::mutex mutex;
    std::map<std::string, std::deque<Slice>> slices;
};

} // namespace Hyssophall
