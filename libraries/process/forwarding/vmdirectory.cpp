#include "process/forwarding/vmdirectory.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace Hyssophall {

namespace {

/// A VM that is partitioned or has ended is reported by its relay within this time.
constexpr std::chrono::milliseconds avoidTime{1000};

std::vector<VmDirectory::Vm> inFailureDomain(const std::vector<VmDirectory::Vm> &vms, const std::string &failureDomain)
{
    std::vector<VmDirectory::Vm> selected;
    std::copy_if(
        vms.begin(), vms.end(), std::back_inserter(selected), [&failureDomain](const VmDirectory::Vm &vm) { return vm.failureDomain == failureDomain; });
    return selected;
}

} // namespace

VmDirectory::VmDirectory(std::string ownId, std::string ownFailureDomain, RandomSource random)
    : ownId(std::move(ownId))
    , ownFailureDomain(std::move(ownFailureDomain))
    , random(std::move(random))
{
}

void VmDirectory::apply(const RelayMessages::Update &update)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (update.all_vms()) {
        this->entries.clear();
    }
    for (const RelayMessages::VmPresence &presence : update.vms()) {
        const bool isUsable = presence.present() && !presence.forwarding_host().empty() && !presence.partitioned_from_instances();
        if (presence.vm() == this->ownId) {
            continue;
        }
        if (isUsable) {
            this->entries[presence.vm()] = {
                {presence.vm(), presence.failure_domain(), presence.forwarding_host(), static_cast<std::uint16_t>(presence.forwarding_port())}, SteadyTime()};
        } else {
            this->entries.erase(presence.vm());
        }
    }
}

std::optional<VmDirectory::Vm> VmDirectory::choose(const std::string &instanceDomain, const std::set<std::string> &excluded, SteadyTime now) const
{
    const std::vector<Vm> all = this->usable(excluded, now);
    for (const std::string &failureDomain : {this->ownFailureDomain, instanceDomain}) {
        const std::vector<Vm> near = inFailureDomain(all, failureDomain);
        if (!near.empty()) {
            return this->pick(near);
        }
    }
    return all.empty() ? std::nullopt : std::optional<Vm>(this->pick(all));
}

std::string VmDirectory::nearestFailureDomain(SteadyTime now) const
{
    const std::vector<Vm> all = this->usable({}, now);
    if (all.empty() || !inFailureDomain(all, this->ownFailureDomain).empty()) {
        return all.empty() ? std::string() : this->ownFailureDomain;
    }
    return this->pick(all).failureDomain;
}

void VmDirectory::avoid(const std::string &id, SteadyTime now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto known = this->entries.find(id);
    if (known != this->entries.end()) {
        known->second.avoidedUntil = now + avoidTime;
    }
}

std::size_t VmDirectory::count(SteadyTime now) const
{
    return this->usable({}, now).size();
}

std::vector<VmDirectory::Vm> VmDirectory::usable(const std::set<std::string> &excluded, SteadyTime now) const
{
    std::vector<Vm> vms;
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::pair<const std::string, Entry> &entry : this->entries) {
        if (now >= entry.second.avoidedUntil && !excluded.contains(entry.first)) {
            vms.push_back(entry.second.vm);
        }
    }
    return vms;
}

const VmDirectory::Vm &VmDirectory::pick(const std::vector<Vm> &vms) const
{
    return vms[static_cast<std::size_t>(this->random() % vms.size())];
}

} // namespace Hyssophall
