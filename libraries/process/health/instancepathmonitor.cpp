#include "process/health/instancepathmonitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Hyssophall {

namespace {

/// Failures that lie further apart are taken for those of single instances.
constexpr std::chrono::milliseconds failureWindow{2000};
/// Hosts that must have failed if one of them serves other VMs meanwhile, and if nothing is known of that.
constexpr std::size_t failedHostsWithEvidence = 2;
constexpr std::size_t failedHostsWithoutEvidence = 4;
/// A VM that reaches one instance of many is still of no use for most requests.
constexpr int connectionsToRecover = 2;

} // namespace

InstancePathMonitor::InstancePathMonitor(Hooks hooks)
    : hooks(std::move(hooks))
{
}

void InstancePathMonitor::recordConnected(const std::string &host, SteadyTime at)
{
    std::size_t failedHosts = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->connectedAt = std::max(this->connectedAt.value_or(at), at);
        if (this->failedAt && at < *this->failedAt) {
            return;
        }
        this->failures.erase(host);
        if (!this->partitioned) {
            this->failures.clear();
            return;
        }
        if (++this->connectedInARow < connectionsToRecover) {
            return;
        }
        failedHosts = this->failures.size();
        this->failures.clear();
        this->partitioned = false;
    }
    if (this->hooks.changed) {
        this->hooks.changed(false, failedHosts);
    }
}

void InstancePathMonitor::recordConnectFailed(const std::string &host, bool servesOthers)
{
    std::size_t failedHosts = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->hooks.clock();
        this->connectedInARow = 0;
        this->failedAt = now;
        if (!this->partitioned) {
            std::erase_if(this->failures, [now](const std::pair<const std::string, Failure> &entry) { return now - entry.second.at > failureWindow; });
        }
        this->failures[host] = {now, servesOthers};
        if (this->partitioned || !this->hasEnoughEvidence()) {
            return;
        }
        this->partitioned = true;
        failedHosts = this->failures.size();
    }
    if (this->hooks.changed) {
        this->hooks.changed(true, failedHosts);
    }
}

bool InstancePathMonitor::isPartitioned() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->partitioned;
}

std::optional<SteadyTime> InstancePathMonitor::lastConnected() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->connectedAt;
}

bool InstancePathMonitor::hasEnoughEvidence() const
{
    const bool servesOthers = std::any_of(
        this->failures.begin(), this->failures.end(), [](const std::pair<const std::string, Failure> &entry) { return entry.second.servesOthers; });
    return this->failures.size() >= (servesOthers ? failedHostsWithEvidence : failedHostsWithoutEvidence);
}

} // namespace Hyssophall
