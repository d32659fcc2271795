#include "version/cataloguejson.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace Hyssophall;

namespace {

/// The field of the error for a change in JSON, or an empty string if it is valid.
std::string invalidFieldOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(json, parseJson(text));
            BOOST_LEAF_CHECK(changeFromJson(json));
            return std::string();
        },
        [](const InvalidChange &error) { return error.field; },
        []() { return std::string("untyped"); });
}

} // namespace

// Guards against a field that the JSON conversion loses or alters on the way from an operator's file to the control log.
CATCH_TEST_CASE("Each kind of change is unchanged after conversion from JSON and back", "[catalogue][config-in-force]")
{
    for (const std::string text : {
             R"({"put_service":{"announce_token_hash":"00ff","floor_count":2,"floor_per_mille":700,"maximum_connections":350,"name":"orders","owner":"o"}})",
             R"({"put_route":{"host":"h","maximum_attempts":2,"methods":["GET"],"name":"r","open":true,"owner":"o","path_prefix":"/a","priority":1,)"
             R"("route_class":"non_idempotent","service":"s","shares":[{"service":"s","weight":2.5}],"target_latency_milliseconds":4,"teams":["t"],)"
             R"("timeout_milliseconds":5}})",
             R"({"put_team":{"burst":2.5,"name":"t","owner":"o","priority":3,"rate":0.1,"weight":1.0}})",
             R"({"put_key":{"hash":"ab","id":"k","team":"t"}})",
             R"({"admit_member":{"admitted_incarnation":"18446744073709551615","failure_domain":"a","fleet_address":"127.0.0.1:1","id":"v"}})",
             R"({"remove_service":"s"})",
             R"({"remove_route":"r"})",
             R"({"remove_team":"t"})",
             R"({"withdraw_key":"k"})",
             R"({"remove_member":"v"})",
         }) {
        CATCH_CAPTURE(text);
        const boost::leaf::result<CatalogueMessages::Change> change = changeFromJson(nlohmann::json::parse(text));
        CATCH_REQUIRE(change);
        CATCH_REQUIRE(changeToJson(*change).dump() == text);
    }
}

// Guards against misspelt fields or fields of a wrong type that are ignored, so that the default value applies without an error.
CATCH_TEST_CASE("Unknown fields, duplicate fields and fields of a wrong type are rejected with their path", "[catalogue]")
{
    CATCH_REQUIRE(invalidFieldOf(R"({"put_team":{"name":"t","rat":1}})") == "team.rat");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_team":{"name":"t","rate":"1"}})") == "team.rate");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_team":{"rate":1,"rate":2}})") == "body");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_team":[]})") == "team");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_service":{"floor_count":-1}})") == "service.floor_count");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_service":{"floor_count":4294967296}})") == "service.floor_count");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_service":{"announce_token_hash":"0"}})") == "service.announce_token_hash");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_route":{"route_class":"unspecified"}})") == "route.route_class");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_route":{"methods":"GET"}})") == "route.methods");
    CATCH_REQUIRE(invalidFieldOf(R"({"put_route":{"open":1}})") == "route.open");
    CATCH_REQUIRE(invalidFieldOf(R"({"admit_member":{"admitted_incarnation":"1x"}})") == "member.admitted_incarnation");
    CATCH_REQUIRE(invalidFieldOf(R"({"remove_team":1})") == "remove_team");
    CATCH_REQUIRE(invalidFieldOf(R"({"drop_team":"t"})") == "change.drop_team");
    CATCH_REQUIRE(invalidFieldOf(R"({"remove_team":"t","remove_route":"r"})") == "change");
    for (const std::string &text : {std::string(), std::string("{"), std::string("{} x"), std::string(100000, '['), std::string("\"\xff\"")}) {
        CATCH_REQUIRE(invalidFieldOf(text) == "body");
    }
}

// Guards against the administration API returning the hashes of keys or tokens to clients outside the fleet.
CATCH_TEST_CASE("The catalogue in JSON contains no hashes", "[catalogue][key-isolation]")
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.add_keys()->set_hash(std::string(32, 'x'));
    snapshot.add_services()->set_announce_token_hash(std::string(32, 'x'));
    CATCH_REQUIRE(snapshotToJsonWithoutHashes(snapshot).dump().find("hash") == std::string::npos);
}
