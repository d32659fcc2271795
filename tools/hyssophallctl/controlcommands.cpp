#include "controlcommands.h"

#include <boost/leaf/error.hpp>

#include <iostream>

namespace Hyssophall::CommandLine {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

void showDone(const json &)
{
    std::cout << "done\n";
}

void showStatus(const json &body)
{
    std::cout << body["id"].get<std::string>() << " " << body["role"].get<std::string>() << ", term " << body["term"] << ", leader "
              << body["leader"].get<std::string>() << ", committed " << body["committed_index"] << ", catalogue version " << body["catalogue_version"] << "\n";
    for (const json &replica : body["replicas"]) {
        std::cout << "  " << replica["id"].get<std::string>() << " " << replica["address"].get<std::string>() << " disk "
                  << replica["disk_incarnation"].get<std::string>() << (replica["learner"].get<bool>() ? " learner" : "") << "\n";
    }
}

std::string replicaPath(const std::string &id)
{
    return "/v1/control/replicas/" + escapedSegment(id);
}

} // namespace

ControlCommands::ControlCommands(const Session &session)
    : session(session)
{
}

ExitCode ControlCommands::control(const Words &words) const
{
    const std::string action = words.empty() ? "" : words.front();
    if (action == "bootstrap" && words.size() == 1) {
        // Another VM that is asked after a lost answer would start a second group, so only the first address is asked.
        return this->session.run([&]() -> leaf::result<ExitCode> {
            BOOST_LEAF_AUTO(reply, this->session.client().sendToFirst("POST", "/v1/control/bootstrap", ""));
            return this->session.conclude(reply, showDone);
        });
    }
    if (action == "status" && words.size() == 1) {
        return this->session.request("GET", "/v1/control/status", "", showStatus);
    }
    if (action == "replace" && words.size() == 2) {
        return this->replace(words[1]);
    }
    if (action == "remove" && words.size() == 2) {
        return this->session.request("DELETE", replicaPath(words[1]), "", showDone);
    }
    return Session::refuse("control needs bootstrap, status, replace ID --from=ADDRESS or remove ID");
}

ExitCode ControlCommands::replace(const std::string &id) const
{
    if (this->session.options().from.empty()) {
        return Session::refuse("control replace needs --from with the administration address of the replica's VM");
    }
    return this->session.run([&]() -> leaf::result<ExitCode> {
        const AdministrationClient vmClient = this->session.client().withAddress(this->session.options().from);
        BOOST_LEAF_AUTO(vm, vmClient.send("GET", "/v1/vm", ""));
        BOOST_LEAF_AUTO(status, vmClient.send("GET", "/v1/control/status", ""));
        if (vm.status != 200 || status.status != 200) {
            return this->session.conclude(vm.status != 200 ? vm : status, showDone);
        }
        if (vm.body["id"] != id || status.body["id"] != id) {
            return Session::refuse("the VM at " + this->session.options().from + " is not a control VM with the id " + id);
        }
        const json replica = {{"address", vm.body["fleet_address"]}, {"disk_incarnation", status.body["disk_incarnation"]}};
        return this->session.request("PUT", replicaPath(id), replica.dump(), showDone);
    });
}

} // namespace Hyssophall::CommandLine
