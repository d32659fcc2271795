#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"
#include "process/administration/progresstracker.h"

#include <string>

namespace Hyssophall::Administration {

/// This VM's view of the fleet as JSON; no other VM is asked.
class ReadEndpoint
{
public:
    /// The arguments must outlive the endpoint.
    ReadEndpoint(const Hooks &hooks, const Configuration &configuration, ProgressTracker &progress);

    /// GET /v1/catalogue: the whole catalogue without the hashes of keys and tokens.
    HttpResponse catalogue() const;
    /// GET /v1/version: the catalogue's and the roster's version.
    HttpResponse version() const;
    /// GET /v1/vm: this VM's identity.
    HttpResponse vm() const;
    /// GET /v1/progress/<version>: on which VMs the catalogue version is in force.
    HttpResponse progress(const std::string &version) const;
    /// GET /v1/members: each known VM with its liveness and catalogue version.
    HttpResponse members() const;
    /// GET /v1/instances/<service>: the service's known instances; 404 for an unknown service.
    HttpResponse instances(const std::string &service) const;

private:
    const Hooks &hooks;
    const Configuration &configuration;
    ProgressTracker &tracker;
};

} // namespace Hyssophall::Administration
