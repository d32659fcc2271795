#include "platform/controlinterface.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

namespace CatalogueMessages = hyssophall::catalogue::v1;

struct ControlInterfaceFixture {
    ControlInterfaceFixture()
    {
        Platform::ControlInterface::Hooks hooks;
        hooks.clock = std::chrono::steady_clock::now;
        hooks.putConfiguration = [this](const CatalogueMessages::Configuration &configuration, SteadyTime) {
            this->inForce = std::make_shared<CatalogueMessages::Configuration>(configuration);
            return this->isDecided;
        };
        hooks.readConfiguration = [this](SteadyTime) { return this->isDecided ? this->inForce : nullptr; };
        hooks.registerInstance = [this](const Platform::RelayMessages::Registration &registration, SteadyTime) {
            this->registered.push_back(registration);
            return this->isDecided;
        };
        hooks.removeInstance = [this](const std::string &id, SteadyTime) {
            this->removed = id;
            return this->isDecided;
        };
        hooks.isServiceKnown = [](const std::string &service) { return service == "s1"; };
        this->interface = std::make_unique<Platform::ControlInterface>(std::move(hooks));
    }

    int status(const std::string &method, const std::vector<std::string> &path, const std::string &body = "")
    {
        Administration::HttpRequest request;
        request.method = method;
        request.segments = path;
        request.body = body;
        const Administration::HttpResponse response = this->interface->handle(request);
        this->body = response.body;
        return response.status;
    }

    /// Whether the control group decides and the relays confirm in time.
    bool isDecided = true;
    std::shared_ptr<const CatalogueMessages::Configuration> inForce;
    std::vector<Platform::RelayMessages::Registration> registered;
    std::string removed;
    std::string body;
    std::unique_ptr<Platform::ControlInterface> interface;
};

const std::string empty = R"({"version":1,"routes":{},"services":{"s1":{}}})";
const std::string registration = R"({"service":"s1","address":"10.0.0.9:80","zone":"a","version":"v1","max_concurrency":3,"state":"draining",
    "warmup_left_ms":0,"seq":4,"born":5})";

} // namespace

// Guards against an acknowledgement without a decision of the control group or the relays, and against a read of a configuration that may be outdated.
CATCH_TEST_CASE("Calls are acknowledged only once they are decided", "[platform][config-in-force]")
{
    ControlInterfaceFixture api;
    CATCH_CHECK(api.status("PUT", {"v1", "config"}, empty) == 200);
    CATCH_CHECK(api.status("GET", {"v1", "config"}) == 200);
    CATCH_CHECK(api.body == empty);
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, registration) == 200);
    CATCH_CHECK(api.registered.at(0).state() == Platform::RelayMessages::REGISTRATION_STATE_DRAINING);
    CATCH_CHECK(api.status("DELETE", {"v1", "instances", "i-1"}) == 200);
    CATCH_CHECK(api.removed == "i-1");
    api.isDecided = false;
    CATCH_CHECK(api.status("PUT", {"v1", "config"}, empty) == 503);
    CATCH_CHECK(api.status("GET", {"v1", "config"}) == 503);
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, registration) == 503);
    CATCH_CHECK(api.status("DELETE", {"v1", "instances", "i-1"}) == 503);
}

// Guards against invalid requests that change the configuration or the registrations.
CATCH_TEST_CASE("Calls that can't be read are refused and change nothing", "[platform]")
{
    ControlInterfaceFixture api;
    CATCH_CHECK(api.status("PUT", {"v1", "config"}, empty.substr(1)) == 400);
    CATCH_CHECK(api.inForce == nullptr);
    CATCH_CHECK(api.status("GET", {"v1", "config"}) == 503);
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, "{}") == 400);
    std::string unknownService = registration;
    unknownService.replace(unknownService.find("s1"), 2, "s2");
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, unknownService) == 400);
    CATCH_CHECK(api.registered.empty());
    CATCH_CHECK(api.status("POST", {"v1", "config"}, empty) == 404);
    CATCH_CHECK(api.status("GET", {"v2", "config"}) == 404);
}
