#pragma once

#include "process/hooks.h"
#include "relay.pb.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/**
 * The VMs of the fleet that a relay knows of, and how many they are.
 *
 * The counts are kept as VMs come and go, so asking for them costs the same in a fleet of any size. Not thread-safe.
 */
class VmPresenceTable
{
public:
    /// Identifies the stream on which a VM was reported: its own, or that of another relay.
    using Source = const void *;

    /// A VM that hasn't been visible for @p expiry no longer counts as part of the fleet.
    explicit VmPresenceTable(std::chrono::milliseconds expiry);

    /// Whether the VMs that @p source reports count as visible; they do until this is called with false.
    void setVisible(Source source, bool isVisible, SteadyTime now);

    /// Sets what @p source reports of a VM that is present.
    void set(Source source, const RelayMessages::VmPresence &presence, SteadyTime now);

    /// Removes a VM from those that @p source reports.
    void remove(Source source, const std::string &vm, SteadyTime now);

    /// Removes all VMs that @p source reports.
    void removeSource(Source source, SteadyTime now);

    /// The latest report of a VM that any source reports, or null.
    const RelayMessages::VmPresence *find(const std::string &vm) const;

    /// Number of VMs that any source reports.
    std::size_t size() const;
    const std::vector<std::string> &names() const;

    /// The VMs that @p source reports.
    std::vector<std::string> namesOf(Source source) const;

    /// Number of VMs that a visible source reports.
    std::uint32_t visibleCount() const;

    /// Number of VMs that are visible or were visible or reported within the expiry.
    std::uint32_t knownCount(SteadyTime now);

    /// Up to @p count different VMs chosen at random which can be forwarded to: of @p failureDomain, or of all others. Leaves out @p excluded.
    std::vector<std::string> sample(
        const std::string &failureDomain, bool isInDomain, std::size_t count, const std::set<std::string> &excluded, const RandomSource &random) const;

    /// Whether a VM accepts forwarded requests and reaches instances.
    static bool isForwardable(const RelayMessages::VmPresence &presence);

private:
    struct Entry {
        RelayMessages::VmPresence presence;
        std::set<Source> sources;
        std::uint32_t visibleSources = 0;
        /// Positions in all and in the list of the VM's failure domain.
        std::size_t position = 0;
        std::size_t domainPosition = 0;
    };

    bool isVisible(Source source) const;
    void insertName(const std::string &vm, Entry &entry);
    void eraseName(Entry &entry);
    void visibleSourceAdded(const std::string &vm, Entry &entry);
    void visibleSourceRemoved(const std::string &vm, Entry &entry, SteadyTime now);

    const std::chrono::milliseconds expiry;
    std::map<std::string, Entry> entries;
    std::map<Source, std::set<std::string>> vmsOfSources;
    std::set<Source> invisibleSources;
    std::vector<std::string> all;
    std::map<std::string, std::vector<std::string>> domains;
    std::uint32_t visible = 0;
    /// VMs that aren't visible, by the time when they were last visible or reported.
    std::map<std::string, SteadyTime> departed;
    SteadyTime nextExpiryCheck;
};

} // namespace Hyssophall
