#include "process/administration/controlendpoint.h"

#include "process/administration/responses.h"
#include "version/cataloguejson.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

namespace Hyssophall::Administration {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

leaf::result<void> checkReplica(const ControlMessages::Replica &replica)
{
    if (replica.id().empty()) {
        return leaf::new_error(InvalidChange{"replica.id", "the id of a VM"});
    }
    if (replica.address().empty()) {
        return leaf::new_error(InvalidChange{"replica.address", "host:port of the fleet port"});
    }
    if (replica.disk_incarnation() == 0) {
        return leaf::new_error(InvalidChange{"replica.disk_incarnation", "the incarnation of the replica's disk, from its control status"});
    }
    return {};
}

json groupJson(const ControlMessages::GroupConfiguration &group)
{
    json list = json::array();
    for (const ControlMessages::Replica &replica : group.replicas()) {
        list.push_back(entryToJson(replica));
    }
    return list;
}

leaf::result<ControlMessages::GroupConfiguration> readGroup(const std::string &body)
{
    ControlMessages::GroupConfiguration group;
    if (body.empty()) {
        return group;
    }
    BOOST_LEAF_AUTO(object, parseJson(body));
    if (!object.is_object() || object.size() != 1 || !object.contains("replicas") || !object["replicas"].is_array()) {
        return leaf::new_error(InvalidChange{"body", "an object with the field replicas, a list"});
    }
    for (const json &item : object["replicas"]) {
        BOOST_LEAF_CHECK(entryFromJson(item, "replica", *group.add_replicas()));
        BOOST_LEAF_CHECK(checkReplica(group.replicas(group.replicas_size() - 1)));
    }
    return group;
}

HttpResponse bootstrapResponse(BootstrapResult result)
{
    switch (result) {
    case BootstrapResult::Done:
        return jsonResponse(200, {{"result", "done"}});
    case BootstrapResult::AlreadyBootstrapped:
        return errorResponse(409, "already_bootstrapped", "this replica belongs to a group already");
    case BootstrapResult::NotControl:
        return errorResponse(422, "not_control", "this VM's role is entry");
    case BootstrapResult::Failed:
        break;
    }
    return errorResponse(503, "bootstrap_failed", "the group could not be written to the data folder");
}

} // namespace

ControlEndpoint::ControlEndpoint(const Hooks &hooks, const Configuration &configuration)
    : hooks(hooks)
    , configuration(configuration)
{
}

leaf::result<HttpResponse> ControlEndpoint::status() const
{
    BOOST_LEAF_AUTO(status, this->hooks.proposer->status(this->deadline()));
    const json object = {
        {"id", status.id()},
        {"role", status.role()},
        {"term", status.term()},
        {"leader", status.leader()},
        {"last", {{"term", status.last().term()}, {"index", status.last().index()}}},
        {"committed_index", status.committed_index()},
        {"catalogue_version", status.catalogue_version()},
        {"disk_incarnation", std::to_string(status.disk_incarnation())},
        {"replicas", groupJson(status.configuration())},
    };
    return jsonResponse(200, object);
}

leaf::result<HttpResponse> ControlEndpoint::bootstrap(const HttpRequest &request) const
{
    BOOST_LEAF_AUTO(group, readGroup(request.body));
    return bootstrapResponse(this->hooks.bootstrap(group));
}

leaf::result<HttpResponse> ControlEndpoint::putReplica(const HttpRequest &request) const
{
    BOOST_LEAF_AUTO(object, parseJson(request.body));
    if (object.is_object() && object.contains("id")) {
        return leaf::new_error(InvalidChange{"replica.id", "to be in the path alone"});
    }
    ControlMessages::Replica replica;
    BOOST_LEAF_CHECK(entryFromJson(object, "replica", replica));
    replica.set_id(request.segments.back());
    BOOST_LEAF_CHECK(checkReplica(replica));
    BOOST_LEAF_AUTO(outcome, this->hooks.proposer->putReplica(replica, this->deadline()));
    return outcomeResponse(outcome, json::object());
}

leaf::result<HttpResponse> ControlEndpoint::removeReplica(const HttpRequest &request) const
{
    BOOST_LEAF_AUTO(outcome, this->hooks.proposer->removeReplica(request.segments.back(), this->deadline()));
    return outcomeResponse(outcome, json::object());
}

SteadyTime ControlEndpoint::deadline() const
{
    return this->hooks.clock() + this->configuration.decisionTimeout;
}

} // namespace Hyssophall::Administration
