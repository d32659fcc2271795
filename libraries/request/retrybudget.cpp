#include "request/retrybudget.h"

namespace Hyssophall {

namespace {

std::int64_t secondOf(SteadyTime time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

void RetryBudget::addRequest(const std::string &, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->bucketFor(secondOf(now)).requests;
}

bool RetryBudget::tryAcquire(const std::string &, SteadyTime now)
{
    const std::int64_t current = secondOf(now);
    std::lock_guard<std::mutex> lock(this->mutex);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const Bucket &bucket : this->buckets) {
        if (bucket.second > current - static_cast<std::int64_t>(windowSeconds) && bucket.second <= current) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    if (retries >= requests / requestsPerRetry + extraRetries) {
        return false;
    }
    ++this->bucketFor(current).retries;
    return true;
}

RetryBudget::Bucket &RetryBudget::bucketFor(std::int64_t second)
{
    Bucket &bucket = this->buckets.at(static_cast<std::uint64_t>(second) % windowSeconds);
    if (bucket.second != second) {
        bucket = Bucket{second, 0, 0};
    }
    return bucket;
}

} // namespace Hyssophall
