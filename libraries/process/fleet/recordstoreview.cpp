#include "process/fleet/recordstore.h"

#include <algorithm>

namespace Hyssophall {

namespace {

std::uint32_t millisecondsLeft(SteadyTime until, SteadyTime now)
{
    const std::chrono::milliseconds left = std::chrono::ceil<std::chrono::milliseconds>(until - now);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, left.count()));
}

} // namespace

std::shared_ptr<const InstanceDirectory::Instances> RecordStore::instances(const std::string &service) const
{
    static const std::shared_ptr<const Instances> none = std::make_shared<const Instances>();
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::map<std::string, Service, std::less<>>::iterator found = this->services.find(service);
    if (found == this->services.end()) {
        return none;
    }
    if (found->second.view == nullptr || found->second.viewEnd <= now) {
        this->rebuildView(found->second, now);
    }
    return found->second.view;
}

void RecordStore::rebuildView(Service &service, SteadyTime now) const
{
    std::shared_ptr<Instances> view = std::make_shared<Instances>();
    view->reserve(service.live);
    service.viewEnd = SteadyTime::max();
    for (const std::pair<const std::string, FleetMessages::Instance> &entry : service.instances) {
        const FleetMessages::Instance &instance = entry.second;
        if (instance.state() != FleetMessages::INSTANCE_STATE_EXPIRED) {
            view->push_back({instance, this->isEjected(instance, now, service.viewEnd)});
        }
    }
    service.view = std::move(view);
}

bool RecordStore::isEjected(const FleetMessages::Instance &instance, SteadyTime now, SteadyTime &end) const
{
    const std::map<InstanceKey, TimedEjection>::const_iterator found = this->ejections.find({instance.service(), instance.id()});
    if (found == this->ejections.end() || found->second.until <= now || found->second.ejection.instance_incarnation() != instance.incarnation()) {
        return false;
    }
    end = std::min(end, found->second.until);
    return true;
}

FleetMessages::Record RecordStore::recordOf(const FleetMessages::Instance &instance)
{
    FleetMessages::Record record;
    *record.mutable_instance() = instance;
    return record;
}

FleetMessages::Record RecordStore::recordOf(const TimedEjection &timed, SteadyTime now)
{
    FleetMessages::Record record;
    *record.mutable_ejection() = timed.ejection;
    record.mutable_ejection()->set_remaining_milliseconds(millisecondsLeft(timed.until, now));
    return record;
}

FleetMessages::Record RecordStore::recordOf(std::uint64_t fingerprint, SteadyTime until, SteadyTime now)
{
    FleetMessages::Record record;
    record.mutable_poison()->set_fingerprint(fingerprint);
    record.mutable_poison()->set_remaining_milliseconds(millisecondsLeft(until, now));
    return record;
}

} // namespace Hyssophall
