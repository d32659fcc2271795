#pragma once

#include "process/hooks.h"
#include "process/relay/updatebuffer.h"
#include "process/relay/vmpresencetable.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace Hyssophall {

/**
 * Which other VMs a relay reports to each of its VMs.
 *
 * A VM needs a few others that can forward its requests, not all of them, so it gets a random sample: half of it of its own failure domain. What one
 * arrival or departure costs therefore doesn't grow with the fleet. In a fleet that is smaller than a sample, each VM gets all others. Not thread-safe.
 */
class VmLists
{
public:
    /// Number of VMs in a sample.
    static constexpr std::size_t sampleSize = 16;

    /// A VM that is connected to this relay.
    struct Receiver {
        std::string vm;
        std::string failureDomain;
        UpdateBuffer *buffer = nullptr;
    };

    /// @p table must outlive this.
    VmLists(const VmPresenceTable &table, RandomSource random);

    /// Adds a receiver and its list to @p initial. The receiver's buffer must outlive its entry here; its address identifies the receiver.
    void add(const Receiver &receiver, RelayMessages::Update &initial, SteadyTime now);
    void remove(const UpdateBuffer &buffer);

    /// Reports to the receivers that have this VM in their lists, or have room for it, what the table says of it now.
    void vmChanged(const std::string &vm);

    /// Adds a new list to @p update if the receiver's list is so old that it should be replaced. Lists that were drawn while the fleet was small
    /// contain the same few VMs, and the end of a relay isn't reported VM by VM.
    void redrawIfDue(const UpdateBuffer &buffer, RelayMessages::Update &update, SteadyTime now);

private:
    struct List {
        Receiver receiver;
        /// Failure domains of the VMs, by VM.
        std::map<std::string, std::string> vms;
        SteadyTime redrawAt;
    };

    void draw(List &list, RelayMessages::Update &update, SteadyTime now);
    void addVm(List &list, const std::string &vm);
    void removeVm(List &list, const std::string &vm);
    void clear(List &list);
    /// Adds a VM in place of one of @p failureDomain.
    void addReplacement(List &list, const std::string &failureDomain, RelayMessages::Update &update);
    void updateIncomplete(List &list);

    const VmPresenceTable &table;
    const RandomSource random;
    std::map<const UpdateBuffer *, List> lists;
    std::map<std::string, std::set<List *>> listsOfVms;
    /// Lists with fewer VMs than a sample.
    std::set<List *> incomplete;
};

} // namespace Hyssophall
