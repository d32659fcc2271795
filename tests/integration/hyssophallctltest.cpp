#include "process/administration/administrationserver.h"
#include "unit/process/administration/administrationmocks.h"
#include "unit/process/administration/freeport.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/wait.h>

using namespace Hyssophall;
using Administration::AdministrationServer;

namespace {

struct Run {
    int code = 0;
    std::string output;
};

/// An administration server over mocks and the command line that speaks to it.
class ControlFixture
{
public:
    ControlFixture()
        : endpoint{"127.0.0.1", freePort()}
        , server(AdministrationServer::create([this](const Administration::HttpRequest &request) { return this->api.api.handle(request); }, this->endpoint, 16)
                     .value())
        , keyFile((std::filesystem::temp_directory_path() / ("hyssophall-key-" + std::to_string(this->endpoint.port))).string())
    {
        std::ofstream(this->keyFile) << "alice-key\n";
    }
    ~ControlFixture()
    {
        std::filesystem::remove(this->keyFile);
    }

    Run run(const std::string &words) const
    {
        const std::string addresses = "127.0.0.1:" + std::to_string(freePort()) + "," + this->endpoint.address();
        const std::string command
            = std::string(HYSSOPHALL_BINARIES "/hyssophallctl --address=") + addresses + " --operator-key-file=" + this->keyFile + " " + words + " 2>/dev/null";
        Run run;
        FILE *pipe = popen(command.c_str(), "r");
        char buffer[4096];
        for (std::size_t length = 0; (length = fread(buffer, 1, sizeof(buffer), pipe)) > 0;) {
            run.output.append(buffer, length);
        }
        run.code = WEXITSTATUS(pclose(pipe));
        return run;
    }

    ApiFixture api;
    Endpoint endpoint;
    std::unique_ptr<AdministrationServer> server;
    std::string keyFile;
};

} // namespace

// Guards against scripts that take a refused, unknown or unavailable change for a done one. The first address never answers.
CATCH_TEST_CASE("The command line's exit codes tell what happened to a change", "[administration][config-in-force]")
{
    ControlFixture fixture;
    CATCH_REQUIRE(fixture.run("change put-team name=t owner=o rate=10 burst=5 weight=1").code == 0);
    CATCH_REQUIRE(fixture.run("change put-service name=s owner=o announce_token=secret floor_per_mille=700").code == 0);
    CATCH_REQUIRE(fixture.run("change put-route name=r owner=o path_prefix=/a service=s route_class=idempotent methods=GET,HEAD open=false").code == 0);
    CATCH_REQUIRE(fixture.api.store.current()->findRoute("HEAD", "/a/b") != nullptr);
    CATCH_REQUIRE(fixture.run("--json version").output.find("\"version\":3") != std::string::npos);
    CATCH_REQUIRE(fixture.run("change remove-route r --expect=1").code == 2);
    CATCH_REQUIRE(fixture.run("change put-team name=t rate=fast").code == 3);
    CATCH_REQUIRE(fixture.run("change put-team name=t speed=1").code == 1);
    CATCH_REQUIRE(fixture.run("--expect=x version").code == 1);
    CATCH_REQUIRE(fixture.run("--change-id=c1 change remove-route r").code == 0);
    CATCH_REQUIRE(fixture.run("--change-id=c1 change remove-route r").code == 0);
    CATCH_REQUIRE(fixture.api.store.current()->version() == 4);
    fixture.api.proposer.failure = ControlUnavailable::Reason::NoQuorum;
    CATCH_REQUIRE(fixture.run("change remove-service s").code == 4);
    fixture.api.proposer.failure = ControlUnavailable::Reason::Unknown;
    CATCH_REQUIRE(fixture.run("change remove-service s").code == 5);
    CATCH_REQUIRE(fixture.run("control bootstrap").code == 4);
}

// Guards against a printed key that doesn't fit the hash in the catalogue, and members with another incarnation than the VM's.
CATCH_TEST_CASE("Keys and members come from the command line", "[administration][key-isolation]")
{
    ControlFixture fixture;
    const std::string self = fixture.endpoint.address();
    CATCH_REQUIRE(fixture.run("change put-team name=t owner=o rate=10 burst=5 weight=1").code == 0);
    std::string key = fixture.run("key create k t").output;
    CATCH_REQUIRE(key.size() == 65);
    key.pop_back();
    CATCH_REQUIRE(fixture.api.store.current()->findKey(hashKey(key))->id() == "k");
    CATCH_REQUIRE(fixture.run("key withdraw k").code == 0);
    CATCH_REQUIRE(fixture.api.store.current()->findKey(hashKey(key)) == nullptr);
    CATCH_REQUIRE(fixture.run("member admit --from=" + self).code == 0);
    CATCH_REQUIRE(fixture.api.store.current()->roster().find("vm-1")->admitted_incarnation() == 99);
    CATCH_REQUIRE(fixture.run("wait 4 --timeout=300ms").code == 6);
    fixture.api.members.statuses.push_back({"vm-1", "", "", Liveness::Alive, 99, 4});
    CATCH_REQUIRE(fixture.run("wait 4").code == 0);
    CATCH_REQUIRE(fixture.run("member list").output.find("vm-1") == 0);
    CATCH_REQUIRE(fixture.run("catalogue").code == 0);
    CATCH_REQUIRE(fixture.run("instances nothing").code == 3);
    CATCH_REQUIRE(fixture.run("instances \"no service/?\"").code == 3);
    CATCH_REQUIRE(fixture.run("control status").code == 0);
    CATCH_REQUIRE(fixture.run("control replace vm-2 --from=" + self).code == 1);
    CATCH_REQUIRE(fixture.run("--help").code == 0);
}
