#include "cataloguecommands.h"

#include "entryarguments.h"
#include "process/keyhash.h"

#include <absl/strings/str_split.h>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <iostream>
#include <set>
#include <utility>

namespace Hyssophall::CommandLine {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

const std::set<std::string> putKinds = {"put_service", "put_route", "put_team"};
const std::set<std::string> removeKinds = {"remove_service", "remove_route", "remove_team"};

std::vector<std::string> addressesIn(const std::string &list)
{
    return absl::StrSplit(list, ',', absl::SkipEmpty());
}

void showAccepted(const json &body)
{
    std::cout << "accepted: version " << body["version"];
    if (body.contains("confirmed")) {
        std::cout << ", in force on " << body["confirmed"].get<std::size_t>() + body["expired"].get<std::size_t>() << " of " << body["members"];
    }
    std::cout << "\n";
}

void showMembers(const json &body)
{
    for (const json &member : body["members"]) {
        std::cout << member["id"].get<std::string>() << " " << member["fleet_address"].get<std::string>() << " " << member["failure_domain"].get<std::string>()
                  << " " << member["liveness"].get<std::string>() << " version " << member["catalogue_version"] << "\n";
    }
}

Words rest(const Words &words)
{
    return Words(words.begin() + 1, words.end());
}

/// Runs a command whose words may be wrong.
ExitCode checkingWords(const std::function<leaf::result<ExitCode>()> &command)
{
    return leaf::try_handle_all(
        command, [](const InvalidWord &fault) { return Session::refuse(fault.message); }, []() { return Session::refuse("the words can't be read"); });
}

} // namespace

CatalogueCommands::CatalogueCommands(const Session &session)
    : session(session)
{
}

ExitCode CatalogueCommands::change(const Words &words) const
{
    std::string kind = words.empty() ? "" : words.front();
    std::replace(kind.begin(), kind.end(), '-', '_');
    if (putKinds.contains(kind)) {
        return checkingWords([&]() -> leaf::result<ExitCode> {
            BOOST_LEAF_AUTO(entry, entryFromWords(kind, rest(words)));
            return this->propose({{kind, entry}}, showAccepted, json::object());
        });
    }
    if (removeKinds.contains(kind) && words.size() == 2) {
        return this->propose({{kind, words[1]}}, showAccepted, json::object());
    }
    return Session::refuse("change needs put-service, put-route or put-team with an entry, or remove-service, remove-route or remove-team with a name");
}

ExitCode CatalogueCommands::key(const Words &words) const
{
    if (words.size() == 3 && words[0] == "create") {
        return this->createKey(words[1], words[2]);
    }
    if (words.size() == 2 && words[0] == "withdraw") {
        return this->propose({{"withdraw_key", words[1]}}, showAccepted, json::object());
    }
    return Session::refuse("key needs create ID TEAM or withdraw ID");
}

ExitCode CatalogueCommands::member(const Words &words) const
{
    if (!words.empty() && words[0] == "admit") {
        return this->admit(rest(words));
    }
    if (words.size() == 2 && words[0] == "remove") {
        return this->propose({{"remove_member", words[1]}}, showAccepted, json::object());
    }
    if (words.size() == 1 && words[0] == "list") {
        return this->session.request("GET", "/v1/members", "", showMembers);
    }
    return Session::refuse("member needs admit, remove ID or list");
}

ExitCode CatalogueCommands::propose(const json &change, const Session::Show &show, const json &details) const
{
    const std::string &given = this->session.options().changeId;
    const std::string id = given.empty() ? createRandomKey().substr(0, 32) : given;
    const ExitCode code = this->session.run([&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(version, this->expectedVersion());
        const json body = {{"change_id", id}, {"expected_version", version}, {"change", change}};
        BOOST_LEAF_AUTO(reply, this->session.client().send("POST", "/v1/changes", body.dump()));
        if (reply.status == 200) {
            reply.body.update(details);
        }
        return this->session.conclude(reply, show);
    });
    if (code == ExitCode::OutcomeUnknown) {
        std::cerr << "resend with --change_id=" << id << "\n";
    }
    return code;
}

ExitCode CatalogueCommands::admit(const Words &fields) const
{
    if (this->session.options().from.empty()) {
        return checkingWords([&]() -> leaf::result<ExitCode> {
            BOOST_LEAF_AUTO(entry, entryFromWords("admit_member", fields));
            return this->propose({{"admit_member", entry}}, showAccepted, json::object());
        });
    }
    if (!fields.empty()) {
        return Session::refuse("member admit takes --from or fields, not both");
    }
    return this->session.run([&]() -> leaf::result<ExitCode> {
        json members = json::array();
        for (const std::string &address : addressesIn(this->session.options().from)) {
            BOOST_LEAF_AUTO(reply, this->session.client().withAddress(address).send("GET", "/v1/vm", ""));
            if (reply.status != 200) {
                return this->session.conclude(reply, showAccepted);
            }
            reply.body["admitted_incarnation"] = reply.body["incarnation"];
            reply.body.erase("incarnation");
            members.push_back(reply.body);
        }
        // One VM joins a fleet; several together form a new one.
        const json change = members.size() == 1 ? json{{"admit_member", members.front()}} : json{{"admit_first_members", {{"members", members}}}};
        return this->propose(change, showAccepted, json::object());
    });
}

/// The key is made here and only its hash is sent, so a resend after a lost answer still fits the key.
ExitCode CatalogueCommands::createKey(const std::string &id, const std::string &team) const
{
    const std::string key = createRandomKey();
    const json entry = {{"id", id}, {"team", team}, {"hash", hexadecimal(hashKey(key))}};
    const auto show = [](const json &body) {
        std::cerr << "accepted: version " << body["version"] << "\n";
        std::cout << body["key"].get<std::string>() << "\n";
    };
    const ExitCode code = this->propose({{"put_key", entry}}, show, {{"id", id}, {"key", key}});
    if (code == ExitCode::OutcomeUnknown) {
        std::cerr << "the key may exist but isn't shown: withdraw it and create another\n";
    }
    return code;
}

leaf::result<std::uint64_t> CatalogueCommands::expectedVersion() const
{
    if (this->session.options().expectedVersion) {
        return *this->session.options().expectedVersion;
    }
    std::uint64_t version = 0;
    // A VM may lag behind the control group for a moment; the group's own version spares a conflict after a change just made.
    for (const char *path : {"/v1/version", "/v1/control/status"}) {
        BOOST_LEAF_AUTO(reply, this->session.client().send("GET", path, ""));
        version = std::max(version, reply.body.value(std::string(path) == "/v1/version" ? "version" : "catalogue_version", std::uint64_t{0}));
    }
    return version;
}

} // namespace Hyssophall::CommandLine
