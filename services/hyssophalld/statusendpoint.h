#pragma once

#include "process/administration/httpmessage.h"

#include <functional>
#include <string>

namespace Hyssophall {

/// What the administration port of a relayed fleet's VM answers: /healthz, /metrics and /ready.
class StatusEndpoint
{
public:
    struct Hooks {
        std::function<std::string()> metricsText;
        /// Empty when callers may be sent here, else the reason why not.
        std::function<std::string()> unreadyReason;
    };

    explicit StatusEndpoint(Hooks hooks);

    Administration::HttpResponse handle(const Administration::HttpRequest &request) const;

private:
    const Hooks hooks;
};

} // namespace Hyssophall
