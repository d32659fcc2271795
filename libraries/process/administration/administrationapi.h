#pragma once

#include "process/administration/announceendpoint.h"
#include "process/administration/changeendpoint.h"
#include "process/administration/controlendpoint.h"
#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"
#include "process/administration/progresstracker.h"
#include "process/administration/readendpoint.h"

#include <functional>
#include <map>
#include <string>

namespace Hyssophall::Administration {

/// The administration API, free of the web server. Thread-safe; calls for changes block for the decision timeout at most.
class AdministrationApi
{
public:
    AdministrationApi(Hooks hooks, Configuration configuration);
    AdministrationApi(const AdministrationApi &) = delete;
    AdministrationApi &operator=(const AdministrationApi &) = delete;

    HttpResponse handle(const HttpRequest &request);

private:
    using Handler = std::function<HttpResponse(const HttpRequest &, const std::string &operatorName)>;

    struct Endpoint {
        bool needsOperator = true;
        Handler handler;
    };

    void addOpenEndpoints();
    void addReadEndpoints();
    void addChangeEndpoints();
    void addControlEndpoints();

    /// The name of the operator with this key, or an empty string. Each operator's hash is compared, whichever matches.
    std::string operatorOf(const std::string &key) const;

    const Hooks hooks;
    const Configuration configuration;
    ProgressTracker progress;
    ReadEndpoint reads;
    ChangeEndpoint changes;
    ControlEndpoint control;
    AnnounceEndpoint announcements;
    /// By "METHOD /path", where "*" stands for the last segment.
    std::map<std::string, Endpoint> endpoints;
};

} // namespace Hyssophall::Administration
