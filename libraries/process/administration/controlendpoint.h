#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"

#include <boost/leaf/result.hpp>

#include <string>

namespace Hyssophall::Administration {

/// The control group's state and membership. Errors of all functions: InvalidChange, ControlUnavailable.
class ControlEndpoint
{
public:
    /// Both outlive the endpoint.
    ControlEndpoint(const Hooks &hooks, const Configuration &configuration);

    /// GET /v1/control/status.
    boost::leaf::result<HttpResponse> status() const;

    /// POST /v1/control/bootstrap; an empty body or {"replicas":[{"id","address","disk_incarnation"},...]}.
    boost::leaf::result<HttpResponse> bootstrap(const HttpRequest &request) const;

    /// PUT /v1/control/replicas/<id> with {"address","disk_incarnation"}.
    boost::leaf::result<HttpResponse> putReplica(const HttpRequest &request) const;

    /// DELETE /v1/control/replicas/<id>.
    boost::leaf::result<HttpResponse> removeReplica(const HttpRequest &request) const;

private:
    SteadyTime deadline() const;

    const Hooks &hooks;
    const Configuration &configuration;
};

} // namespace Hyssophall::Administration
