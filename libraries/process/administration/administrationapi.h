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

/// The administration API without the web server: routes requests to the endpoints and checks operators' keys.
/// Thread-safe. Requests for changes block for at most Configuration::decisionTimeout, those that create keys for at most twice that time.
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

    /// The name of the operator with this key, or an empty string. Compares all operators' hashes, so that the time doesn't reveal which one matches.
    std::string findOperator(const std::string &key) const;

    const Hooks hooks;
    const Configuration configuration;
    ProgressTracker progress;
    ReadEndpoint reads;
    ChangeEndpoint changes;
    ControlEndpoint control;
    AnnounceEndpoint announcements;
    /// Key: "METHOD /path", where "*" in place of the last segment matches any value.
    std::map<std::string, Endpoint> endpoints;
};

} // namespace Hyssophall::Administration
