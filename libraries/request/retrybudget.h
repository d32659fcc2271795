#pragma once

#include "request/retrylimiter.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace Hyssophall {

/**
 * Limits the retries of this VM to a tenth of its requests plus 3, over a sliding window of 10 seconds. All services share the budget.
 *
 * Without a limit, retries multiply the load on upstreams while these are failing. The window consists of whole seconds. Thread-safe.
 */
class RetryBudget : public RetryLimiter
{
public:
    static constexpr std::uint64_t windowSeconds = 10;
    static constexpr std::uint64_t requestsPerRetry = 10;
    static constexpr std::uint64_t extraRetries = 3;

    void addRequest(const std::string &service, SteadyTime now) override;

    /// Acquires one retry. False if the budget is exhausted.
    bool tryAcquire(const std::string &service, SteadyTime now) override;

private:
    struct Bucket {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    Bucket &bucketFor(std::int64_t second);

    std::mutex mutex;
    std::array<Bucket, windowSeconds> buckets;
};

} // namespace Hyssophall
