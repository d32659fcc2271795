#include "unit/process/administration/administrationmocks.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Hyssophall;
using Administration::HttpResponse;
using nlohmann::json;

namespace {

const json team = {{"name", "t"}, {"owner", "o"}, {"rate", 1}, {"burst", 1}, {"weight", 1}};

std::string changeBody(const std::string &id, std::uint64_t expected, const json &change)
{
    return json({{"change_id", id}, {"expected_version", expected}, {"change", change}}).dump();
}

std::string errorCode(const HttpResponse &response)
{
    return json::parse(response.body)["error"]["code"];
}

} // namespace

// Guards against a retried change that is applied twice, and against a change based on an old version that overwrites a newer one.
CATCH_TEST_CASE("Retried changes get the first response and conflicts name the version", "[administration][config-in-force]")
{
    ApiFixture fixture;
    const std::string body = changeBody("c1", 0, {{"put_team", team}});
    const HttpResponse first = fixture.send("POST", {"v1", "changes"}, body);
    CATCH_REQUIRE(first.status == 200);
    CATCH_REQUIRE(json::parse(first.body)["version"] == 1);
    CATCH_REQUIRE(fixture.send("POST", {"v1", "changes"}, body).body == first.body);
    CATCH_REQUIRE(fixture.store.current()->version() == 1);
    CATCH_REQUIRE(fixture.proposer.proposed.back().operator_name() == "alice");
    const HttpResponse conflict = fixture.send("POST", {"v1", "changes"}, changeBody("c2", 0, {{"remove_team", "t"}}));
    CATCH_REQUIRE(conflict.status == 409);
    CATCH_REQUIRE(json::parse(conflict.body)["error"]["version"] == 1);
    fixture.proposer.failure = ControlUnavailable::Reason::NoQuorum;
    CATCH_REQUIRE(fixture.send("POST", {"v1", "changes"}, body).status == 503);
    fixture.proposer.failure = ControlUnavailable::Reason::Unknown;
    CATCH_REQUIRE(errorCode(fixture.send("POST", {"v1", "changes"}, body)) == "outcome_unknown");
}

// Guards against invalid input that is proposed to the control group, and against an error response that doesn't name the invalid field.
CATCH_TEST_CASE("Bad bodies are refused with their field", "[administration]")
{
    ApiFixture fixture;
    const json good = {{"change_id", "c"}, {"expected_version", 0}, {"change", {{"put_team", team}}}};
    const std::map<std::string, json> faults = {
        {"change_id", ""},
        {"expected_version", -1},
        {"change", json::object()},
        {"extra", 1},
    };
    for (const auto &[field, value] : faults) {
        json body = good;
        body[field] = value;
        const HttpResponse response = fixture.send("POST", {"v1", "changes"}, body.dump());
        CATCH_REQUIRE(response.status == 422);
        CATCH_REQUIRE(json::parse(response.body)["error"]["field"] == field);
        CATCH_REQUIRE_FALSE(json::parse(response.body)["error"]["expected"].get<std::string>().empty());
    }
    CATCH_REQUIRE(fixture.send("POST", {"v1", "changes"}, "[1]").status == 422);
    CATCH_REQUIRE(fixture.send("POST", {"v1", "changes"}, "{").status == 422);
    CATCH_REQUIRE(fixture.send("PUT", {"v1", "control", "replicas", "vm-1"}, R"({"address":"127.0.0.1:1"})").status == 422);
    CATCH_REQUIRE(fixture.send("GET", {"v1", "progress", "1x"}).status == 422);
    CATCH_REQUIRE(fixture.send("GET", {"v1", "nothing"}).status == 404);
    CATCH_REQUIRE(fixture.proposer.proposed.empty());
}

// Guards against requests without a valid operator's key that reach the operators' endpoints: no key, a wrong key, or an operator's name as the key.
CATCH_TEST_CASE("Only operators reach the catalogue", "[administration][key-isolation]")
{
    ApiFixture fixture;
    for (const std::string key : {"", "alice-kez", "alice"}) {
        fixture.bearer = key;
        CATCH_REQUIRE(fixture.send("POST", {"v1", "changes"}, changeBody("c1", 0, {{"put_team", team}})).status == 401);
        CATCH_REQUIRE(fixture.send("GET", {"v1", "catalogue"}).status == 401);
        CATCH_REQUIRE(fixture.send("GET", {"v1", "control", "status"}).status == 401);
        CATCH_REQUIRE(fixture.send("POST", {"v1", "control", "bootstrap"}).status == 401);
        CATCH_REQUIRE(fixture.send("GET", {"v1", "vm"}).status == 200);
        CATCH_REQUIRE(fixture.send("GET", {"healthz"}).status == 200);
        CATCH_REQUIRE(fixture.send("GET", {"ready"}).status == 503);
    }
    CATCH_REQUIRE(fixture.proposer.proposed.empty());
}

// Guards against a retry that returns a key whose hash isn't in the catalogue. Each request creates a random key, but only the first one's is stored.
CATCH_TEST_CASE("A created key is returned once and works", "[administration][key-isolation]")
{
    ApiFixture fixture;
    CATCH_REQUIRE(fixture.send("POST", {"v1", "changes"}, changeBody("c1", 0, {{"put_team", team}})).status == 200);
    const std::string body = R"({"change_id":"c2","expected_version":1,"id":"k","team":"t"})";
    const HttpResponse created = fixture.send("POST", {"v1", "keys"}, body);
    CATCH_REQUIRE(created.status == 200);
    const std::string key = json::parse(created.body)["key"];
    CATCH_REQUIRE(key.size() == 64);
    CATCH_REQUIRE(fixture.store.current()->findKey(hashKey(key))->id() == "k");
    CATCH_REQUIRE(errorCode(fixture.send("POST", {"v1", "keys"}, body)) == "key_already_created");
    const std::string catalogue = fixture.send("GET", {"v1", "catalogue"}).body;
    CATCH_REQUIRE(catalogue.find(key) == std::string::npos);
    CATCH_REQUIRE(catalogue.find("hash") == std::string::npos);
    CATCH_REQUIRE(fixture.send("DELETE", {"v1", "keys", "k"}).status == 422);
    fixture.query = {{"change_id", "c3"}, {"expected_version", "2"}};
    CATCH_REQUIRE(fixture.send("DELETE", {"v1", "keys", "k"}).status == 200);
    CATCH_REQUIRE(fixture.store.current()->findKey(hashKey(key)) == nullptr);
}

// Guards against an upstream that announces itself for a service without the service's token, and against announcements with invalid fields.
CATCH_TEST_CASE("Announcements need the service's token", "[administration][leaving-upstream]")
{
    ApiFixture fixture;
    const json service = {{"name", "orders"}, {"owner", "o"}, {"announce_token_hash", hexadecimal(hashKey("token"))}};
    CATCH_REQUIRE(fixture.send("POST", {"v1", "changes"}, changeBody("c1", 0, {{"put_service", service}})).status == 200);
    json body = {{"id", "i"},
        {"service", "orders"},
        {"host", "127.0.0.1"},
        {"port", 1},
        {"failure_domain", "a"},
        {"slots", 3},
        {"state", "leaving"},
        {"incarnation", 5}};
    CATCH_REQUIRE(fixture.send("POST", {"v1", "announce"}, body.dump()).status == 401);
    fixture.bearer = "token";
    CATCH_REQUIRE(fixture.send("POST", {"v1", "announce"}, body.dump()).status == 200);
    CATCH_REQUIRE(fixture.announced.back().instance().state() == hyssophall::fleet::v1::INSTANCE_STATE_LEAVING);
    CATCH_REQUIRE(fixture.announced.back().lease_milliseconds() == 10000);
    CATCH_REQUIRE(fixture.send("GET", {"v1", "instances", "orders"}).status == 401);
    const std::map<std::string, json> faults = {{"port", 0}, {"state", "expired"}, {"incarnation", 0}, {"sequence", 1}, {"lease_milliseconds", 1}, {"id", ""}};
    for (const auto &[field, value] : faults) {
        json bad = body;
        bad[field] = value;
        CATCH_CAPTURE(field);
        CATCH_REQUIRE(fixture.send("POST", {"v1", "announce"}, bad.dump()).status == 422);
    }
    body["service"] = "unknown";
    CATCH_REQUIRE(fixture.send("POST", {"v1", "announce"}, body.dump()).status == 401);
    CATCH_REQUIRE(fixture.announced.size() == 1);
}
