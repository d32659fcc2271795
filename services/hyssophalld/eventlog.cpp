#include "eventlog.h"

#include <glog/logging.h>

namespace Hyssophall {

namespace {

const char *stateName(FleetMessages::InstanceState state)
{
    switch (state) {
    case FleetMessages::INSTANCE_STATE_STARTING:
        return "starting";
    case FleetMessages::INSTANCE_STATE_READY:
        return "ready";
    case FleetMessages::INSTANCE_STATE_LEAVING:
        return "leaving";
    case FleetMessages::INSTANCE_STATE_EXPIRED:
        return "expired";
    default:
        return "unknown";
    }
}

void logEjection(const FleetMessages::Ejection &ejection)
{
    if (ejection.remaining_milliseconds() == 0) {
        LOG(INFO) << "Instance " << ejection.instance() << " of service " << ejection.service() << " is back in service";
        return;
    }
    LOG(WARNING) << "Instance " << ejection.instance() << " of service " << ejection.service() << " is ejected for at least "
                 << ejection.remaining_milliseconds() << " ms";
}

} // namespace

void logFleetEvents(CatalogueStore &store, RecordStore &records)
{
    store.addListener([](const std::shared_ptr<const Catalogue> &catalogue) { LOG(INFO) << "Catalogue version " << catalogue->version() << " is in force"; });
    records.addInstanceListener([](const FleetMessages::Instance &instance) {
        LOG(INFO) << "Instance " << instance.id() << " of service " << instance.service() << " is " << stateName(instance.state());
    });
    records.addEjectionListener([](const FleetMessages::Ejection &ejection, SteadyTime) { logEjection(ejection); });
    records.addPoisonListener(
        [](std::uint64_t fingerprint, SteadyTime) { LOG(WARNING) << "Requests with fingerprint " << fingerprint << " are refused as poison requests"; });
}

} // namespace Hyssophall
