#include "process/limits/sharedretrybudget.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Parts of the allowance that are used while the VMs hear each other and while they don't. Both may fall into one window, and what is left
/// covers retries that VMs decide on before they hear of each other.
constexpr double usedPartTogether = 0.55;
constexpr double usedPartAlone = 0.35;
/// A VM that hears less of the fleet goes by what it knows of itself.
constexpr double togetherShare = 0.9;
constexpr std::chrono::milliseconds sliceLength{250};

} // namespace

SharedRetryBudget::SharedRetryBudget(const Options &options, Hooks hooks)
    : options(options)
    , hooks(std::move(hooks))
{
}

void SharedRetryBudget::addRequest(const std::string &service, SteadyTime now)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Slice &current = this->sliceOf(service, now);
        ++current.requests;
        ++current.ownRequests;
    }
    this->hooks.used(service, 1, 0);
}

bool SharedRetryBudget::tryAcquire(const std::string &service, SteadyTime now)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Slice &current = this->sliceOf(service, now);
        if (!this->isWithinBudget(this->slices[service], now)) {
            return false;
        }
        ++current.retries;
        ++current.ownRetries;
    }
    this->hooks.used(service, 0, 1);
    return true;
}

bool SharedRetryBudget::isWithinBudget(const std::deque<Slice> &window, SteadyTime now) const
{
    Slice sum;
    for (const Slice &slice : window) {
        sum.requests += slice.requests;
        sum.retries += slice.retries;
        sum.ownRequests += slice.ownRequests;
        sum.ownRetries += slice.ownRetries;
    }
    // The fleet may have used its slack before this VM started, and start again within the same window.
    const std::chrono::duration<double> known = std::min<SteadyTime::duration>(now - this->options.began, this->options.window);
    const double slack = this->options.slack * (known / this->options.window);
    const double together = usedPartTogether * (this->options.ratio * static_cast<double>(sum.requests) + slack);
    if (this->hooks.visibleShare() >= togetherShare) {
        return static_cast<double>(sum.retries) + 1 <= together;
    }
    const double alone = usedPartAlone * (this->options.ratio * static_cast<double>(sum.ownRequests) + this->options.slack * this->hooks.ownShare());
    return static_cast<double>(sum.ownRetries) + 1 <= alone;
}

void SharedRetryBudget::usedElsewhere(const std::string &service, std::uint32_t requests, std::uint32_t retries, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    Slice &slice = this->sliceOf(service, now);
    slice.requests += requests;
    slice.retries += retries;
}

SharedRetryBudget::Slice &SharedRetryBudget::sliceOf(const std::string &service, SteadyTime now)
{
    std::deque<Slice> &all = this->slices[service];
    while (!all.empty() && now - all.front().began >= this->options.window) {
        all.pop_front();
    }
    if (all.empty() || now - all.back().began >= sliceLength) {
        all.push_back({now, 0, 0, 0, 0});
    }
    return all.back();
}

} // namespace Hyssophall
