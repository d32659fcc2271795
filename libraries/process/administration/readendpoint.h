#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"
#include "process/administration/progresstracker.h"

#include <string>

namespace Hyssophall::Administration {

/// What this VM knows, as JSON.
class ReadEndpoint
{
public:
    /// All of these outlive the endpoint.
    ReadEndpoint(const Hooks &hooks, const Configuration &configuration, ProgressTracker &progress);

    /// GET /v1/catalogue, without hashes.
    HttpResponse catalogue() const;
    /// GET /v1/version.
    HttpResponse version() const;
    /// GET /v1/vm.
    HttpResponse vm() const;
    /// GET /v1/progress/<version>.
    HttpResponse progress(const std::string &version) const;
    /// GET /v1/members.
    HttpResponse members() const;
    /// GET /v1/instances/<service>.
    HttpResponse instances(const std::string &service) const;

private:
    const Hooks &hooks;
    const Configuration &configuration;
    ProgressTracker &tracker;
};

} // namespace Hyssophall::Administration
