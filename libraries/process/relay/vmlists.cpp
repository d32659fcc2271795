#include "process/relay/vmlists.h"

#include <utility>
#include <vector>

namespace Hyssophall {

namespace {

/// A list is replaced after this time and up to as much again, so that the lists aren't all replaced at once.
constexpr std::chrono::milliseconds redrawInterval{20000};

} // namespace

VmLists::VmLists(const VmPresenceTable &table, RandomSource random)
    : table(table)
    , random(std::move(random))
{
}

void VmLists::add(const Receiver &receiver, RelayMessages::Update &initial, SteadyTime now)
{
    List &list = this->lists[receiver.buffer];
    list.receiver = receiver;
    this->draw(list, initial, now);
}

void VmLists::remove(const UpdateBuffer &buffer)
{
    const auto found = this->lists.find(&buffer);
    if (found == this->lists.end()) {
        return;
    }
    this->clear(found->second);
    this->incomplete.erase(&found->second);
    this->lists.erase(found);
}

void VmLists::vmChanged(const std::string &vm)
{
    const RelayMessages::VmPresence *presence = this->table.find(vm);
    RelayMessages::VmPresence ended;
    ended.set_vm(vm);
    const RelayMessages::VmPresence &reported = presence == nullptr ? ended : *presence;
    std::set<List *> receivers;
    const auto listing = this->listsOfVms.find(vm);
    if (listing != this->listsOfVms.end()) {
        receivers = listing->second;
    }
    const bool isUseful = presence != nullptr && (VmPresenceTable::isForwardable(*presence) || this->table.size() <= sampleSize);
    if (isUseful) {
        receivers.insert(this->incomplete.begin(), this->incomplete.end());
    }
    for (List *list : receivers) {
        if (list->receiver.vm == vm) {
            continue;
        }
        RelayMessages::Update update;
        *update.add_vms() = reported;
        const auto listed = list->vms.find(vm);
        const bool wasListed = listed != list->vms.end();
        const std::string failureDomain = wasListed ? listed->second : std::string();
        if (presence == nullptr) {
            this->removeVm(*list, vm);
        } else {
            this->addVm(*list, vm);
        }
        if (wasListed && !VmPresenceTable::isForwardable(reported) && this->table.size() > sampleSize) {
            this->removeVm(*list, vm);
            this->addReplacement(*list, failureDomain, update);
        }
        list->receiver.buffer->add(update);
    }
}

void VmLists::redrawIfDue(const UpdateBuffer &buffer, RelayMessages::Update &update, SteadyTime now)
{
    const auto found = this->lists.find(&buffer);
    if (found == this->lists.end() || now < found->second.redrawAt) {
        return;
    }
    // A list of all VMs is kept up to date as they come and go.
    if (this->table.size() > sampleSize) {
        this->draw(found->second, update, now);
    }
}

void VmLists::draw(List &list, RelayMessages::Update &update, SteadyTime now)
{
    this->clear(list);
    const std::uint64_t interval = static_cast<std::uint64_t>(redrawInterval.count());
    list.redrawAt = now + redrawInterval + std::chrono::milliseconds(this->random() % interval);
    std::vector<std::string> drawn;
    if (this->table.size() <= sampleSize) {
        drawn = this->table.names();
    } else {
        const std::set<std::string> excluded{list.receiver.vm};
        drawn = this->table.sample(list.receiver.failureDomain, true, sampleSize / 2, excluded, this->random);
        const std::vector<std::string> others = this->table.sample(list.receiver.failureDomain, false, sampleSize - drawn.size(), excluded, this->random);
        drawn.insert(drawn.end(), others.begin(), others.end());
    }
    update.set_all_vms(true);
    for (const std::string &vm : drawn) {
        *update.add_vms() = *this->table.find(vm);
        if (vm != list.receiver.vm) {
            this->addVm(list, vm);
        }
    }
    this->updateIncomplete(list);
}

void VmLists::addVm(List &list, const std::string &vm)
{
    list.vms[vm] = this->table.find(vm)->failure_domain();
    this->listsOfVms[vm].insert(&list);
    this->updateIncomplete(list);
}

void VmLists::removeVm(List &list, const std::string &vm)
{
    list.vms.erase(vm);
    const auto listing = this->listsOfVms.find(vm);
    if (listing != this->listsOfVms.end()) {
        listing->second.erase(&list);
        if (listing->second.empty()) {
            this->listsOfVms.erase(listing);
        }
    }
    this->updateIncomplete(list);
}

void VmLists::clear(List &list)
{
    while (!list.vms.empty()) {
        const std::string vm = list.vms.begin()->first;
        this->removeVm(list, vm);
    }
}

void VmLists::addReplacement(List &list, const std::string &failureDomain, RelayMessages::Update &update)
{
    std::set<std::string> excluded{list.receiver.vm};
    for (const std::pair<const std::string, std::string> &entry : list.vms) {
        excluded.insert(entry.first);
    }
    const bool isInDomain = failureDomain == list.receiver.failureDomain;
    for (const std::string &vm : this->table.sample(list.receiver.failureDomain, isInDomain, 1, excluded, this->random)) {
        *update.add_vms() = *this->table.find(vm);
        this->addVm(list, vm);
    }
}

void VmLists::updateIncomplete(List &list)
{
    if (list.vms.size() < sampleSize) {
        this->incomplete.insert(&list);
    } else {
        this->incomplete.erase(&list);
    }
}

} // namespace Hyssophall
