#pragma once

#include "fleet.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace Hyssophall {

/// An announced instance of a service, and whether it is ejected, according to this VM's records.
struct KnownInstance {
    hyssophall::fleet::v1::Instance instance;
    bool ejected = false;
};

/// Read access to the announced instances. Thread-safe, non-blocking.
class InstanceDirectory
{
public:
    using Instances = std::vector<KnownInstance>;

    virtual ~InstanceDirectory() = default;

    /// Instances of a service in ascending order of their ids, without expired ones. Never null. All callers get the same list
    /// until an instance or ejection changes.
    virtual std::shared_ptr<const Instances> instances(const std::string &service) const = 0;
};

} // namespace Hyssophall
