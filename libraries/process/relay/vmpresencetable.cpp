#include "process/relay/vmpresencetable.h"

#include <utility>

namespace Hyssophall {

namespace {

/// Expired VMs are looked for this often, since the number of known VMs is asked for with each message.
constexpr std::chrono::milliseconds expiryCheckInterval{100};
/// Random picks for each VM that is wanted. Picks may find one that is unusable or was picked before.
constexpr std::size_t picksPerVm = 4;

/// Removes the element at @p position by moving the last one there. Returns the name that was moved, or an empty text.
std::string swapRemove(std::vector<std::string> &names, std::size_t position)
{
    std::string moved = position + 1 < names.size() ? names.back() : std::string();
    names[position] = names.back();
    names.pop_back();
    return moved;
}

} // namespace

VmPresenceTable::VmPresenceTable(std::chrono::milliseconds expiry)
    : expiry(expiry)
{
}

bool VmPresenceTable::isForwardable(const RelayMessages::VmPresence &presence)
{
    return presence.present() && !presence.forwarding_host().empty() && !presence.partitioned_from_instances();
}

bool VmPresenceTable::isVisible(Source source) const
{
    return !this->invisibleSources.contains(source);
}

void VmPresenceTable::setVisible(Source source, bool isNowVisible, SteadyTime now)
{
    if (this->isVisible(source) == isNowVisible) {
        return;
    }
    if (isNowVisible) {
        this->invisibleSources.erase(source);
    } else {
        this->invisibleSources.insert(source);
    }
    const auto reported = this->vmsOfSources.find(source);
    if (reported == this->vmsOfSources.end()) {
        return;
    }
    for (const std::string &vm : reported->second) {
        Entry &entry = this->entries.at(vm);
        if (isNowVisible) {
            this->visibleSourceAdded(vm, entry);
        } else {
            this->visibleSourceRemoved(vm, entry, now);
        }
    }
}

void VmPresenceTable::set(Source source, const RelayMessages::VmPresence &presence, SteadyTime now)
{
    const std::string &vm = presence.vm();
    Entry &entry = this->entries[vm];
    const bool isNew = entry.sources.empty();
    if (!isNew && entry.presence.failure_domain() != presence.failure_domain()) {
        this->eraseName(entry);
    }
    const bool needsName = isNew || entry.presence.failure_domain() != presence.failure_domain();
    entry.presence = presence;
    if (needsName) {
        this->insertName(vm, entry);
    }
    if (entry.sources.insert(source).second) {
        this->vmsOfSources[source].insert(vm);
        if (this->isVisible(source)) {
            this->visibleSourceAdded(vm, entry);
        }
    }
    if (entry.visibleSources == 0) {
        this->departed[vm] = now;
    }
}

void VmPresenceTable::remove(Source source, const std::string &vm, SteadyTime now)
{
    const auto found = this->entries.find(vm);
    if (found == this->entries.end() || found->second.sources.erase(source) == 0) {
        // The sender knew the VM until now, so it belongs to the fleet until it expires.
        if (found == this->entries.end()) {
            this->departed[vm] = now;
        }
        return;
    }
    const auto reported = this->vmsOfSources.find(source);
    reported->second.erase(vm);
    if (reported->second.empty()) {
        this->vmsOfSources.erase(reported);
    }
    Entry &entry = found->second;
    if (this->isVisible(source)) {
        this->visibleSourceRemoved(vm, entry, now);
    } else if (entry.visibleSources == 0) {
        this->departed[vm] = now;
    }
    if (entry.sources.empty()) {
        this->eraseName(entry);
        this->entries.erase(found);
    }
}

void VmPresenceTable::removeSource(Source source, SteadyTime now)
{
    for (const std::string &vm : this->namesOf(source)) {
        this->remove(source, vm, now);
    }
    this->invisibleSources.erase(source);
}

const RelayMessages::VmPresence *VmPresenceTable::find(const std::string &vm) const
{
    const auto found = this->entries.find(vm);
    return found == this->entries.end() ? nullptr : &found->second.presence;
}

std::size_t VmPresenceTable::size() const
{
    return this->all.size();
}

const std::vector<std::string> &VmPresenceTable::names() const
{
    return this->all;
}

std::vector<std::string> VmPresenceTable::namesOf(Source source) const
{
    const auto reported = this->vmsOfSources.find(source);
    return reported == this->vmsOfSources.end() ? std::vector<std::string>() : std::vector<std::string>(reported->second.begin(), reported->second.end());
}

std::uint32_t VmPresenceTable::visibleCount() const
{
    return this->visible;
}

std::uint32_t VmPresenceTable::knownCount(SteadyTime now)
{
    if (now >= this->nextExpiryCheck) {
        this->nextExpiryCheck = now + expiryCheckInterval;
        std::erase_if(this->departed, [this, now](const std::pair<const std::string, SteadyTime> &entry) { return now - entry.second > this->expiry; });
    }
    return this->visible + static_cast<std::uint32_t>(this->departed.size());
}

std::vector<std::string> VmPresenceTable::sample(
    const std::string &failureDomain, bool isInDomain, std::size_t count, const std::set<std::string> &excluded, const RandomSource &random) const
{
    std::vector<std::string> chosen;
    const auto domain = this->domains.find(failureDomain);
    if (isInDomain && domain == this->domains.end()) {
        return chosen;
    }
    const std::vector<std::string> &candidates = isInDomain ? domain->second : this->all;
    std::set<std::string> seen = excluded;
    for (std::size_t picks = 0; picks < picksPerVm * count && chosen.size() < count && !candidates.empty(); ++picks) {
        const std::string &vm = candidates[static_cast<std::size_t>(random() % candidates.size())];
        const RelayMessages::VmPresence &presence = this->entries.at(vm).presence;
        const bool isWanted = isForwardable(presence) && (presence.failure_domain() == failureDomain) == isInDomain;
        if (isWanted && seen.insert(vm).second) {
            chosen.push_back(vm);
        }
    }
    return chosen;
}

void VmPresenceTable::insertName(const std::string &vm, Entry &entry)
{
    entry.position = this->all.size();
    this->all.push_back(vm);
    std::vector<std::string> &domain = this->domains[entry.presence.failure_domain()];
    entry.domainPosition = domain.size();
    domain.push_back(vm);
}

void VmPresenceTable::eraseName(Entry &entry)
{
    const std::string moved = swapRemove(this->all, entry.position);
    if (!moved.empty()) {
        this->entries.at(moved).position = entry.position;
    }
    const auto domain = this->domains.find(entry.presence.failure_domain());
    const std::string movedInDomain = swapRemove(domain->second, entry.domainPosition);
    if (!movedInDomain.empty()) {
        this->entries.at(movedInDomain).domainPosition = entry.domainPosition;
    }
    if (domain->second.empty()) {
        this->domains.erase(domain);
    }
}

void VmPresenceTable::visibleSourceAdded(const std::string &vm, Entry &entry)
{
    if (entry.visibleSources++ == 0) {
        ++this->visible;
        this->departed.erase(vm);
    }
}

void VmPresenceTable::visibleSourceRemoved(const std::string &vm, Entry &entry, SteadyTime now)
{
    if (--entry.visibleSources == 0) {
        --this->visible;
        this->departed[vm] = now;
    }
}

} // namespace Hyssophall
