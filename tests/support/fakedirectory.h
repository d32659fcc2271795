#pragma once

#include "process/fleet/instancedirectory.h"

#include <map>
#include <memory>
#include <string>

namespace Hyssophall::TestSupport {

/// Instances that a test sets.
class FakeDirectory : public InstanceDirectory
{
public:
    std::shared_ptr<const Instances> instances(const std::string &service) const override
    {
        const auto found = this->byService.find(service);
        return std::make_shared<Instances>(found == this->byService.end() ? Instances() : found->second);
    }

    /// Adds @p count ready instances "<service>-00", "<service>-01", ...
    void add(const std::string &service, int count)
    {
        for (int index = 0; index < count; ++index) {
            KnownInstance known;
            known.instance.set_id(service + (index < 10 ? "-0" : "-") + std::to_string(index));
            known.instance.set_service(service);
            known.instance.set_incarnation(1);
            known.instance.set_state(hyssophall::fleet::v1::INSTANCE_STATE_READY);
            this->byService[service].push_back(known);
        }
    }

    std::map<std::string, Instances> byService;
};

} // namespace Hyssophall::TestSupport
