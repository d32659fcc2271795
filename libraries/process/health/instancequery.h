#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace Hyssophall {

/// Properties of a request by which an instance is chosen for its next try.
struct InstanceQuery {
    std::string service;
    /// Name of the request's route; empty when it is unknown.
    std::string route;
    bool idempotent = false;
    /// Whether the request may be retried when this try fails.
    bool mayRetry = false;
    /// Whether this VM currently receives the outcomes of most other VMs.
    bool receivesFleetOutcomes = true;
    /// Failure domain from which the request reaches the instance; empty for this VM's own.
    std::string failureDomain;
    /// Size of the request's body.
    std::size_t requestBytes = 0;
    /// Ids of the instances on which this request was already tried.
    std::set<std::string> tried;
};

} // namespace Hyssophall
