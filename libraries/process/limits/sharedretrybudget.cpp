#include "process/limits/sharedretrybudget.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Parts of the allowance that VMs use while they see each other and while they don't. Both states may occur within one window, so their sum is
/// below 1. The rest covers retries that VMs allow before they learn of each other's.
constexpr double connectedPart = 0.55;
constexpr double isolatedPart = 0.35;
/// With a smaller visible share, a VM decides by its own requests and retries alone.
constexpr double connectedShare = 0.9;
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
        Slice &current = this->currentSlice(service, now);
        ++current.requests;
        ++current.ownRequests;
    }
    this->hooks.reportUse(service, 1, 0);
}

bool SharedRetryBudget::tryTake(const std::string &service, SteadyTime now)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Slice &current = this->currentSlice(service, now);
        if (!this->isWithinBudget(this->slices[service], now)) {
            return false;
        }
        ++current.retries;
        ++current.ownRetries;
    }
    this->hooks.reportUse(service, 0, 1);
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
    // The slack accrues over the first window after the start: the fleet may have used it before, and may restart again within the same window.
    const std::chrono::duration<double> coveredTime = std::min<SteadyTime::duration>(now - this->options.startTime, this->options.window);
    const double slack = this->options.slack * (coveredTime / this->options.window);
    const double fleetBudget = connectedPart * (this->options.ratio * static_cast<double>(sum.requests) + slack);
    if (this->hooks.visibleShare() >= connectedShare) {
        return static_cast<double>(sum.retries) + 1 <= fleetBudget;
    }
    const double ownBudget = isolatedPart * (this->options.ratio * static_cast<double>(sum.ownRequests) + this->options.slack * this->hooks.ownShare());
    return static_cast<double>(sum.ownRetries) + 1 <= ownBudget;
}

void SharedRetryBudget::addRemoteUse(const std::string &service, std::uint32_t requests, std::uint32_t retries, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    Slice &slice = this->currentSlice(service, now);
    slice.requests += requests;
    slice.retries += retries;
}

SharedRetryBudget::Slice &SharedRetryBudget::currentSlice(const std::string &service, SteadyTime now)
{
    std::deque<Slice> &serviceSlices = this->slices[service];
    while (!serviceSlices.empty() && now - serviceSlices.front().start >= this->options.window) {
        serviceSlices.pop_front();
    }
    if (serviceSlices.empty() || now - serviceSlices.back().start >= sliceLength) {
        serviceSlices.push_back({now, 0, 0, 0, 0});
    }
    return serviceSlices.back();
}

} // namespace Hyssophall
