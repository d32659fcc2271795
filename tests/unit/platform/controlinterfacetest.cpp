#include "platform/controlinterface.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

namespace CatalogueMessages = hyssophall::catalogue::v1;

struct Interface {
    Interface()
    {
        Platform::ControlInterface::Hooks hooks;
        hooks.clock = std::chrono::steady_clock::now;
        hooks.putConfiguration = [this](const CatalogueMessages::Configuration &configuration, SteadyTime) {
            this->inForce = std::make_shared<CatalogueMessages::Configuration>(configuration);
            return this->answers;
        };
        hooks.readConfiguration = [this](SteadyTime) { return this->answers ? this->inForce : nullptr; };
        hooks.registerInstance = [this](const Platform::RelayMessages::Registration &registration, SteadyTime) {
            this->registered.push_back(registration);
            return this->answers;
        };
        hooks.removeInstance = [this](const std::string &id, SteadyTime) {
            this->removed = id;
            return this->answers;
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
        const Administration::HttpResponse answer = this->interface->handle(request);
        this->body = answer.body;
        return answer.status;
    }

    bool answers = true;
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

// Guards against an acknowledgement without a decision, and against a read that may be old.
CATCH_TEST_CASE("Calls are acknowledged only once they are decided", "[platform][config-in-force]")
{
    Interface api;
    CATCH_CHECK(api.status("PUT", {"v1", "config"}, empty) == 200);
    CATCH_CHECK(api.status("GET", {"v1", "config"}) == 200);
    CATCH_CHECK(api.body == empty);
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, registration) == 200);
    CATCH_CHECK(api.registered.at(0).state() == Platform::RelayMessages::REGISTRATION_STATE_DRAINING);
    CATCH_CHECK(api.status("DELETE", {"v1", "instances", "i-1"}) == 200);
    CATCH_CHECK(api.removed == "i-1");
    api.answers = false;
    CATCH_CHECK(api.status("PUT", {"v1", "config"}, empty) == 503);
    CATCH_CHECK(api.status("GET", {"v1", "config"}) == 503);
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, registration) == 503);
    CATCH_CHECK(api.status("DELETE", {"v1", "instances", "i-1"}) == 503);
}

// Guards against bad input that changes anything.
CATCH_TEST_CASE("Calls that can't be read are refused and change nothing", "[platform]")
{
    Interface api;
    CATCH_CHECK(api.status("PUT", {"v1", "config"}, empty.substr(1)) == 400);
    CATCH_CHECK(api.inForce == nullptr);
    CATCH_CHECK(api.status("GET", {"v1", "config"}) == 503);
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, "{}") == 400);
    std::string stranger = registration;
    stranger.replace(stranger.find("s1"), 2, "s2");
    CATCH_CHECK(api.status("PUT", {"v1", "instances", "i-1"}, stranger) == 400);
    CATCH_CHECK(api.registered.empty());
    CATCH_CHECK(api.status("POST", {"v1", "config"}, empty) == 404);
    CATCH_CHECK(api.status("GET", {"v2", "config"}) == 404);
}
