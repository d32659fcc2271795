#include "request/retrybudget.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace Hyssophall;

namespace {

// Reference implementation: stores the second of every request and retry and counts them all for each decision.
struct NaiveBudget {
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> retries;

    static std::uint64_t countSince(const std::vector<std::int64_t> &seconds, std::int64_t first)
    {
        return static_cast<std::uint64_t>(std::count_if(seconds.begin(), seconds.end(), [first](std::int64_t second) { return second >= first; }));
    }

    bool tryAcquire(std::int64_t second)
    {
        if (countSince(this->retries, second - 9) >= countSince(this->requests, second - 9) / 10 + 3) {
            return false;
        }
        this->retries.push_back(second);
        return true;
    }
};

} // namespace

CATCH_TEST_CASE("The retry budget decides like a reference that counts all requests and retries", "[retry]")
{
    // Guards against retries that multiply the load on failing upstreams because the sliding window drops entries too early, keeps them too long or counts
    // them twice. Random steps include gaps longer than the window.
    std::mt19937_64 random(20261204);
    for (int run = 0; run < 20; ++run) {
        RetryBudget budget;
        NaiveBudget naive;
        std::int64_t milliseconds = 1000000;
        for (int step = 0; step < 1000; ++step) {
            milliseconds += static_cast<std::int64_t>(random() % (random() % 50 == 0 ? 15000 : 100));
            const SteadyTime now{std::chrono::milliseconds(milliseconds)};
            if (random() % 4 != 0) {
                budget.addRequest("service", now);
                naive.requests.push_back(milliseconds / 1000);
            } else {
                CATCH_REQUIRE(budget.tryAcquire("service", now) == naive.tryAcquire(milliseconds / 1000));
            }
        }
    }
}
