#include "request/retrybudget.h"

namespace Hyssophall {

namespace {

std::int64_t secondNumber(SteadyTime time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

void RetryBudget::addRequest(const std::string &, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->secondOf(secondNumber(now)).requests;
}

bool RetryBudget::tryTake(const std::string &, SteadyTime now)
{
    const std::int64_t current = secondNumber(now);
    std::lock_guard<std::mutex> lock(this->mutex);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const Second &second : this->seconds) {
        if (second.number > current - static_cast<std::int64_t>(windowSeconds) && second.number <= current) {
            requests += second.requests;
            retries += second.retries;
        }
    }
    if (retries >= requests / requestsPerRetry + freeRetries) {
        return false;
    }
    ++this->secondOf(current).retries;
    return true;
}

RetryBudget::Second &RetryBudget::secondOf(std::int64_t number)
{
    Second &second = this->seconds.at(static_cast<std::uint64_t>(number) % windowSeconds);
    if (second.number != number) {
        second = Second{number, 0, 0};
    }
    return second;
}

} // namespace Hyssophall
