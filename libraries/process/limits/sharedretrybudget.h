#pragma once

#include "request/retrylimiter.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Hyssophall {

/**
 * Bounds the retries of all VMs together, for each service by its own requests.
 *
 * Each VM counts what it hears of the others. One that doesn't hear them all goes by its own requests and its own part of the slack.
 * Thread-safe.
 */
class SharedRetryBudget : public RetryLimiter
{
public:
    struct Options {
        /// Retries for each request of the window.
        double ratio = 0.1;
        /// Retries beyond the ratio in each window.
        double slack = 30;
        std::chrono::seconds window{10};
        /// When this VM began to hear the others.
        SteadyTime began;
    };

    struct Hooks {
        /// Share of the fleet's VMs that this VM hears of, at most 1.
        std::function<double()> visibleShare;
        /// What part of the fleet this VM is.
        std::function<double()> ownShare;
        /// Tells the other VMs of requests and retries of a service.
        std::function<void(const std::string &, std::uint32_t requests, std::uint32_t retries)> used;
    };

    SharedRetryBudget(const Options &options, Hooks hooks);

    void addRequest(const std::string &service, SteadyTime now) override;
    bool tryAcquire(const std::string &service, SteadyTime now) override;

    /// Counts what another VM did.
    void usedElsewhere(const std::string &service, std::uint32_t requests, std::uint32_t retries, SteadyTime now);

private:
    struct Slice {
        SteadyTime began;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
        /// This VM's part of both.
        std::uint64_t ownRequests = 0;
        std::uint64_t ownRetries = 0;
    };

    bool isWithinBudget(const std::deque<Slice> &window, SteadyTime now) const;
    Slice &sliceOf(const std::string &service, SteadyTime now);

    const Options options;
    const Hooks hooks;
    std::mutex mutex;
    std::map<std::string, std::deque<Slice>> slices;
};

} // namespace Hyssophall
