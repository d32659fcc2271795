#pragma once

#include "process/administration/httpmessage.h"

#include <functional>
#include <string>

namespace Hyssophall {

/// Serves /healthz, /metrics and /ready on the administration port of a VM in a fleet with relays.
class StatusEndpoint
{
public:
    struct Hooks {
        std::function<std::string()> metricsText;
        /// Why this VM isn't ready for callers, such as "vm_isolated"; empty when it is ready.
        std::function<std::string()> unreadyReason;
    };

    explicit StatusEndpoint(Hooks hooks);

    Administration::HttpResponse handle(const Administration::HttpRequest &request) const;

private:
    const Hooks hooks;
};

} // namespace Hyssophall
