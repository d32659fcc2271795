#pragma once

#include "fleet.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace Hyssophall {

/// An announced instance of a service with its ejection, as this VM knows them.
struct KnownInstance {
    hyssophall::fleet::v1::Instance instance;
    bool ejected = false;
};

/// Interface to the announced instances. Thread-safe, non-blocking.
class InstanceDirectory
{
public:
    using Instances = std::vector<KnownInstance>;

    virtual ~InstanceDirectory() = default;

    /// Instances of a service in ascending order of their ids, expired ones left out. Never null; shared until the next transition.
    virtual std::shared_ptr<const Instances> instances(const std::string &service) const = 0;
};

} // namespace Hyssophall
