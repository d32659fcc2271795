#include "process/health/pendingconnectfailures.h"

#include <chrono>

namespace Hyssophall {

namespace {

/// A request that couldn't be sent goes to further instances within this time, so their results are known by then.
constexpr std::chrono::milliseconds settleTimeout{1000};

} // namespace

void PendingConnectFailures::add(std::uint32_t instance, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->failures.push_back({instance, now});
}

std::vector<PendingConnectFailures::Settled> PendingConnectFailures::settle(bool isPartitioned, std::optional<SteadyTime> lastConnected, SteadyTime now)
{
    std::vector<Settled> settled;
    std::lock_guard<std::mutex> lock(this->mutex);
    std::erase_if(this->failures, [&](const Failure &failure) {
        const bool pathWorked = !isPartitioned && lastConnected && *lastConnected >= failure.at;
        if (!pathWorked && !isPartitioned && now - failure.at < settleTimeout) {
            return false;
        }
        settled.push_back({failure.instance, pathWorked ? Cause::Instance : Cause::Other});
        return true;
    });
    return settled;
}

} // namespace Hyssophall
