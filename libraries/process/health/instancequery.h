#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace Hyssophall {

/// What a try needs of an instance.
struct InstanceQuery {
    std::string service;
    /// Name of the route that the request came by; empty when nothing is known of it.
    std::string route;
    bool idempotent = false;
    /// Whether another try may follow when this one fails.
    bool mayFollow = false;
    /// Whether this VM hears of most other VMs' requests.
    bool hearsOthers = true;
    /// Size of the request's body.
    std::size_t requestBytes = 0;
    /// Ids of the instances that this request was tried on.
    std::set<std::string> tried;
};

} // namespace Hyssophall
