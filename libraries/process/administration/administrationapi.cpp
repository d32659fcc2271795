#include "process/administration/administrationapi.h"

#include "process/administration/responses.h"
#include "process/keyhash.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace Hyssophall::Administration {

namespace {

/// "METHOD /path" of the request, with "*" in place of the last segment when @p hasParameter.
std::string endpointName(const HttpRequest &request, bool hasParameter)
{
    std::string name = request.method + " ";
    for (std::size_t index = 0; index < request.segments.size(); ++index) {
        const bool isParameter = hasParameter && index + 1 == request.segments.size();
        name += "/" + (isParameter ? "*" : request.segments[index]);
    }
    return name;
}

} // namespace

AdministrationApi::AdministrationApi(Hooks hooks, Configuration configuration)
    : hooks(std::move(hooks))
    , configuration(std::move(configuration))
    , progress(this->configuration.servingLeaseExpiry, this->hooks.clock)
    , reads(this->hooks, this->configuration, this->progress)
    , changes(this->hooks, this->configuration, this->progress)
    , control(this->hooks, this->configuration)
    , announcements(this->hooks)
{
    this->addOpenEndpoints();
    this->addReadEndpoints();
    this->addChangeEndpoints();
    this->addControlEndpoints();
}

HttpResponse AdministrationApi::handle(const HttpRequest &request)
{
    auto position = this->endpoints.find(endpointName(request, false));
    if (position == this->endpoints.end() && !request.segments.empty() && !request.segments.back().empty()) {
        position = this->endpoints.find(endpointName(request, true));
    }
    if (position == this->endpoints.end()) {
        return errorResponse(404, "endpoint_unknown", "there is no such method and path");
    }
    std::string operatorName;
    if (position->second.needsOperator) {
        operatorName = this->findOperator(request.bearer);
        if (operatorName.empty()) {
            return errorResponse(401, "operator_unknown", "an operator's key is needed in Authorization: Bearer");
        }
    }
    return position->second.handler(request, operatorName);
}

void AdministrationApi::addOpenEndpoints()
{
    this->endpoints["GET /healthz"] = {false, [](const HttpRequest &, const std::string &) { return HttpResponse{200, "ok\n", "text/plain"}; }};
    this->endpoints["GET /metrics"] = {false, [this](const HttpRequest &, const std::string &) {
                                           return HttpResponse{200, this->hooks.metricsText(), "text/plain; version=0.0.4"};
                                       }};
    this->endpoints["GET /ready"] = {false, [this](const HttpRequest &, const std::string &) {
                                         const Readiness readiness = this->hooks.readiness();
                                         return jsonResponse(readiness.ready ? 200 : 503, {{"ready", readiness.ready}, {"reason", readiness.reason}});
                                     }};
    this->endpoints["GET /v1/vm"] = {false, [this](const HttpRequest &, const std::string &) { return this->reads.vm(); }};
    this->endpoints["POST /v1/announce"]
        = {false, [this](const HttpRequest &request, const std::string &) { return responseOf([&]() { return this->announcements.announce(request); }); }};
}

void AdministrationApi::addReadEndpoints()
{
    this->endpoints["GET /v1/catalogue"] = {true, [this](const HttpRequest &, const std::string &) { return this->reads.catalogue(); }};
    this->endpoints["GET /v1/version"] = {true, [this](const HttpRequest &, const std::string &) { return this->reads.version(); }};
    this->endpoints["GET /v1/members"] = {true, [this](const HttpRequest &, const std::string &) { return this->reads.members(); }};
    this->endpoints["GET /v1/progress/*"]
        = {true, [this](const HttpRequest &request, const std::string &) { return this->reads.progress(request.segments.back()); }};
    this->endpoints["GET /v1/instances/*"]
        = {true, [this](const HttpRequest &request, const std::string &) { return this->reads.instances(request.segments.back()); }};
}

void AdministrationApi::addChangeEndpoints()
{
    this->endpoints["POST /v1/changes"] = {true, [this](const HttpRequest &request, const std::string &operatorName) {
                                               return responseOf([&]() { return this->changes.change(request, operatorName); });
                                           }};
    this->endpoints["POST /v1/keys"] = {true, [this](const HttpRequest &request, const std::string &operatorName) {
                                            return responseOf([&]() { return this->changes.createKey(request, operatorName); });
                                        }};
    this->endpoints["DELETE /v1/keys/*"] = {true, [this](const HttpRequest &request, const std::string &operatorName) {
                                                return responseOf([&]() { return this->changes.withdrawKey(request, operatorName); });
                                            }};
}

void AdministrationApi::addControlEndpoints()
{
    this->endpoints["GET /v1/control/status"]
        = {true, [this](const HttpRequest &, const std::string &) { return responseOf([&]() { return this->control.status(); }); }};
    this->endpoints["POST /v1/control/bootstrap"]
        = {true, [this](const HttpRequest &request, const std::string &) { return responseOf([&]() { return this->control.bootstrap(request); }); }};
    this->endpoints["PUT /v1/control/replicas/*"]
        = {true, [this](const HttpRequest &request, const std::string &) { return responseOf([&]() { return this->control.putReplica(request); }); }};
    this->endpoints["DELETE /v1/control/replicas/*"]
        = {true, [this](const HttpRequest &request, const std::string &) { return responseOf([&]() { return this->control.removeReplica(request); }); }};
}

std::string AdministrationApi::findOperator(const std::string &key) const
{
    // Without this check, an operator configured with the hash of the empty string would admit requests that have no key.
    if (key.empty()) {
        return {};
    }
    const std::string hash = hexadecimal(hashKey(key));
    std::string found;
    for (const std::pair<const std::string, std::string> &known : this->configuration.operators) {
        if (isEqualInConstantTime(hash, known.second)) {
            found = known.first;
        }
    }
    return found;
}

} // namespace Hyssophall::Administration
