#include "statusendpoint.h"

#include "process/administration/responses.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Hyssophall {

StatusEndpoint::StatusEndpoint(Hooks hooks)
    : hooks(std::move(hooks))
{
}

Administration::HttpResponse StatusEndpoint::handle(const Administration::HttpRequest &request) const
{
    const std::string name = request.method == "GET" && request.segments.size() == 1 ? request.segments[0] : "";
    if (name == "healthz") {
        return {200, "ok\n", "text/plain"};
    }
    if (name == "metrics") {
        return {200, this->hooks.metricsText(), "text/plain; version=0.0.4"};
    }
    if (name == "ready") {
        const std::string reason = this->hooks.unreadyReason();
        return Administration::jsonResponse(reason.empty() ? 200 : 503, {{"ready", reason.empty()}, {"reason", reason}});
    }
    return Administration::errorResponse(404, "endpoint_unknown", "there is no such method and path");
}

} // namespace Hyssophall
