#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"

#include <boost/leaf/result.hpp>

#include <string>

namespace Hyssophall::Administration {

/// Shows the control group's state and changes its membership. Errors of all functions: InvalidChange, ControlUnavailable.
class ControlEndpoint
{
public:
    /// The arguments must outlive the endpoint.
    ControlEndpoint(const Hooks &hooks, const Configuration &configuration);

    /// GET /v1/control/status: the state of this VM's replica. A VM without a replica asks the others and uses the first reply.
    boost::leaf::result<HttpResponse> status() const;

    /// POST /v1/control/bootstrap: starts a new group. The body is empty (the replicas of the settings) or
    /// {"replicas":[{"id","address","disk_incarnation"},...]}.
    boost::leaf::result<HttpResponse> bootstrap(const HttpRequest &request) const;

    /// PUT /v1/control/replicas/<id> with the body {"address","disk_incarnation"}: adds or replaces a replica.
    boost::leaf::result<HttpResponse> putReplica(const HttpRequest &request) const;

    /// DELETE /v1/control/replicas/<id>: removes a replica.
    boost::leaf::result<HttpResponse> removeReplica(const HttpRequest &request) const;

private:
    SteadyTime deadline() const;

    const Hooks &hooks;
    const Configuration &configuration;
};

} // namespace Hyssophall::Administration
