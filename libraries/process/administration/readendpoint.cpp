#include "process/administration/readendpoint.h"

#include "process/administration/responses.h"
#include "version/cataloguejson.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Hyssophall::Administration {

using nlohmann::json;

namespace {

const char *livenessName(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "alive";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Dead:
        return "dead";
    case Liveness::Leaving:
        return "leaving";
    }
    return "dead";
}

} // namespace

ReadEndpoint::ReadEndpoint(const Hooks &hooks, const Configuration &configuration, ProgressTracker &progress)
    : hooks(hooks)
    , configuration(configuration)
    , tracker(progress)
{
}

HttpResponse ReadEndpoint::catalogue() const
{
    return jsonResponse(200, snapshotToJsonWithoutHashes(this->hooks.store->current()->snapshot()));
}

HttpResponse ReadEndpoint::version() const
{
    const std::shared_ptr<const Catalogue> catalogue = this->hooks.store->current();
    return jsonResponse(200, {{"version", catalogue->version()}, {"roster_version", catalogue->roster().version()}});
}

HttpResponse ReadEndpoint::vm() const
{
    const VmIdentity &vm = this->configuration.vm;
    return jsonResponse(200,
        {
            {"id", vm.id},
            {"fleet_address", vm.fleetAddress},
            {"failure_domain", vm.failureDomain},
            // A string, because many JSON parsers keep only 53 bits of a number.
            {"incarnation", std::to_string(vm.incarnation)},
        });
}

HttpResponse ReadEndpoint::progress(const std::string &version) const
{
    std::uint64_t number = 0;
    const std::from_chars_result parsed = std::from_chars(version.data(), version.data() + version.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != version.data() + version.size()) {
        return invalidChangeResponse(InvalidChange{"version", "a version number"});
    }
    const std::shared_ptr<const Catalogue> catalogue = this->hooks.store->current();
    json object = progressJson(this->tracker.progress(number, catalogue->roster(), this->hooks.members->members()));
    object["version"] = number;
    return jsonResponse(200, object);
}

HttpResponse ReadEndpoint::members() const
{
    json list = json::array();
    for (const MemberView::MemberStatus &member : this->hooks.members->members()) {
        list.push_back({
            {"id", member.id},
            {"fleet_address", member.address},
            {"failure_domain", member.failureDomain},
            {"liveness", livenessName(member.liveness)},
            {"incarnation", std::to_string(member.incarnation)},
            {"catalogue_version", member.catalogueVersion},
        });
    }
    return jsonResponse(200, {{"members", list}});
}

HttpResponse ReadEndpoint::instances(const std::string &service) const
{
    if (this->hooks.store->current()->findService(service) == nullptr) {
        return errorResponse(404, "service_unknown", "the catalogue has no service of this name");
    }
    json list = json::array();
    const std::shared_ptr<const InstanceDirectory::Instances> instances = this->hooks.instances->instances(service);
    for (const KnownInstance &known : *instances) {
        json object = entryToJson(known.instance);
        object["ejected"] = known.ejected;
        list.push_back(std::move(object));
    }
    return jsonResponse(200, {{"service", service}, {"instances", list}});
}

} // namespace Hyssophall::Administration
