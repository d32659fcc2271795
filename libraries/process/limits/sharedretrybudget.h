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
 * Bounds the retries of all VMs together, for each service by its own requests.
 *
 * Each VM counts what it hears of the others. Like SharedRateLimiter, one that doesn't hear them all keeps to its share. Thread-safe.
 */
class SharedRetryBudget : public RetryAllowance
{
public:
    struct Options {
        /// Retries for each request of the window.
        double ratio = 0.1;
        /// Retries beyond the ratio in each window.
        double slack = 30;
        std::chrono::seconds window{10};
    };

    struct Hooks {
        std::function<double()> visibleShare;
        /// Tells the other VMs of requests and retries of a service.
        std::function<void(const std::string &, std::uint32_t requests, std::uint32_t retries)> used;
    };

    SharedRetryBudget(const Options &options, Hooks hooks);

    void addRequest(const std::string &service, SteadyTime now) override;
    bool tryTake(const std::string &service, SteadyTime now) override;

    /// Counts what another VM did.
    void usedElsewhere(const std::string &service, std::uint32_t requests, std::uint32_t retries, SteadyTime now);

private:
    struct Slice {
        SteadyTime began;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    Slice &sliceOf(const std::string &service, SteadyTime now);

    const Options options;
    const Hooks hooks;
    std::mutex mutex;
    std::map<std::string, std::deque<Slice>> slices;
};

} // namespace Hyssophall
