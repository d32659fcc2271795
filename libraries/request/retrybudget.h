#pragma once

#include "request/retryallowance.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace Hyssophall {

/**
 * Bounds the retries of this VM to a tenth of its requests plus 3, over the last 10 seconds.
 *
 * Retries would otherwise multiply the load on upstreams just when they fail. Time is counted in whole seconds. Thread-safe.
 */
class RetryBudget : public RetryAllowance
{
public:
    static constexpr std::uint64_t windowSeconds = 10;
    static constexpr std::uint64_t requestsPerRetry = 10;
    static constexpr std::uint64_t freeRetries = 3;

    void addRequest(const std::string &service, SteadyTime now) override;

    /// Takes one retry. False when the budget is spent.
    bool tryTake(const std::string &service, SteadyTime now) override;

private:
    struct Second {
        std::int64_t number = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    Second &secondOf(std::int64_t number);

    std::mutex mutex;
    std::array<Second, windowSeconds> seconds;
};

} // namespace Hyssophall
