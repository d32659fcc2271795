#include "process/limits/sharedretrybudget.h"

#include <utility>

namespace Hyssophall {

namespace {

/// Part of the allowance that is used: the rest covers retries that other VMs decide on before they hear of each other.
constexpr double usedPart = 0.7;
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
        ++this->sliceOf(service, now).requests;
    }
    this->hooks.used(service, 1, 0);
}

bool SharedRetryBudget::tryTake(const std::string &service, SteadyTime now)
{
    const double share = this->hooks.visibleShare();
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Slice &current = this->sliceOf(service, now);
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
        for (const Slice &slice : this->slices[service]) {
            requests += slice.requests;
            retries += slice.retries;
        }
        const double allowed = usedPart * (this->options.ratio * static_cast<double>(requests) + this->options.slack * share);
        if (static_cast<double>(retries) + 1 > allowed) {
            return false;
        }
        ++current.retries;
    }
    this->hooks.used(service, 0, 1);
    return true;
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
        all.push_back({now, 0, 0});
    }
    return all.back();
}

} // namespace Hyssophall
