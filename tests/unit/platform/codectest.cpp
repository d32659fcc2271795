#include "platform/configurationcodec.h"
#include "platform/registrationcodec.h"
#include "process/keyhash.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <limits>

using namespace Hyssophall;

namespace {

using Json = nlohmann::json;

Json goodConfiguration()
{
    return Json::parse(R"({"version":7,"routes":{
        "r-1":{"host":"a.example","path_prefix":"/x/","kind":"safe","timeout_ms":2500,"target_latency_ms":1000,"priority":2,
               "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"public":false},
        "r-2":{"host":"b.example","path_prefix":"/y/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"s2",
               "max_attempts":2,"public":true,"later_field":[]}},
        "services":{"s1":{"health_path":"/health","max_conns":360,"protocol":"h1","tls":false},"s2":{"max_conns":360}},
        "limits":{"max_header_bytes":16384,"max_body_bytes":1024,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":{"t1":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":24,"burst":12}}})");
}

/// The path of a configuration's invalid field; "none" for a valid configuration.
std::string invalidField(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&text]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(Platform::readConfiguration(text));
            return std::string("none");
        },
        [](const Platform::InvalidMessage &error) { return error.field; },
        [] { return std::string("untyped"); });
}

std::string invalidFieldWith(const std::string &pointer, const Json &value)
{
    Json json = goodConfiguration();
    json[Json::json_pointer(pointer)] = value;
    return invalidField(json.dump());
}

Json goodRegistration()
{
    return Json::parse(R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1","max_concurrency":3,"state":"ready","warmup_left_ms":0,
        "seq":4,"born":1775485916142,"later_field":1})");
}

bool isRegistration(const Json &json)
{
    return static_cast<bool>(Platform::readRegistration("i-1", json.dump()));
}

} // namespace

// Guards against a platform field that is stored in the wrong field of the configuration, and against a document that operators read back changed.
CATCH_TEST_CASE("A configuration is decoded into the matching fields and its text is kept unchanged", "[platform]")
{
    const std::string text = goodConfiguration().dump(2);
    const boost::leaf::result<CatalogueMessages::Configuration> read = Platform::readConfiguration(text);
    CATCH_REQUIRE(read);
    CATCH_CHECK(read->document() == text);
    CATCH_CHECK(read->version() == 7);
    CATCH_REQUIRE(read->routes_size() == 2);
    const CatalogueMessages::Route &split = read->routes(0);
    CATCH_CHECK(split.route_class() == CatalogueMessages::ROUTE_CLASS_IDEMPOTENT);
    CATCH_CHECK(split.shares(0).weight() == 90);
    CATCH_CHECK(split.timeout_milliseconds() == 2500);
    CATCH_CHECK(split.maximum_attempts() == 2);
    CATCH_CHECK_FALSE(split.open());
    CATCH_CHECK(read->routes(1).route_class() == CatalogueMessages::ROUTE_CLASS_NON_IDEMPOTENT);
    CATCH_CHECK(read->routes(1).open());
    CATCH_CHECK(read->routes(1).service() == "s2");
    CATCH_CHECK(read->teams(0).rate() == 24);
    CATCH_CHECK(read->teams(0).burst() == 12);
    CATCH_REQUIRE(read->keys_size() == 2);
    CATCH_CHECK(read->keys(0).hash() == hashBytes(hashKey("k1")));
    CATCH_CHECK(read->limits().idle_timeout_milliseconds() == 15000);
}

// Guards against a whole configuration that is refused because one of its routes serves large responses, and against tries of such a route that aren't
// repeated after a failure.
CATCH_TEST_CASE("A route of kind download is idempotent, and its text is kept unchanged", "[platform]")
{
    Json json = goodConfiguration();
    json["routes"]["r-2"]["kind"] = "download";
    const boost::leaf::result<CatalogueMessages::Configuration> read = Platform::readConfiguration(json.dump());
    CATCH_REQUIRE(read);
    CATCH_CHECK(read->routes(1).route_class() == CatalogueMessages::ROUTE_CLASS_IDEMPOTENT);
    CATCH_CHECK(Json::parse(read->document())["routes"]["r-2"]["kind"] == "download");
}

// Guards against an invalid configuration that is accepted, and against an error that names another field than the invalid one.
CATCH_TEST_CASE("An invalid configuration is refused with the name of its invalid field", "[platform]")
{
    CATCH_CHECK(invalidField(goodConfiguration().dump()) == "none");
    CATCH_CHECK(invalidField(goodConfiguration().dump().substr(0, 200)).empty());
    CATCH_CHECK(invalidField("[]").empty());
    CATCH_CHECK(invalidFieldWith("/version", 0) == "version");
    CATCH_CHECK(invalidFieldWith("/version", "7") == "version");
    CATCH_CHECK(invalidFieldWith("/routes/r-2/service", "s3") == "routes.r-2.service");
    CATCH_CHECK(invalidFieldWith("/routes/r-1/traffic_split/0/service", "s3") == "routes.r-1.traffic_split.service");
    CATCH_CHECK(invalidFieldWith("/routes/r-1/traffic_split/0/weight", -1) == "routes.r-1.traffic_split.weight");
    CATCH_CHECK(invalidFieldWith("/routes/r-1/timeout_ms", 0) == "routes.r-1.timeout_ms");
    CATCH_CHECK(invalidFieldWith("/routes/r-1/target_latency_ms", 62500) == "routes.r-1.target_latency_ms");
    CATCH_CHECK(invalidFieldWith("/routes/r-1/target_latency_ms", 62499) == "none");
    CATCH_CHECK(invalidFieldWith("/routes/r-1/path_prefix", "x/") == "routes.r-1.path_prefix");
    CATCH_CHECK(invalidFieldWith("/routes/r-1/kind", "other") == "routes.r-1.kind");
    CATCH_CHECK(invalidFieldWith("/tenants/t2", {{"api_keys", {"k2"}}}) == "tenants.t2.api_keys");
    CATCH_CHECK(invalidFieldWith("/tenants/t2", {{"api_keys", {"k3", "k3"}}}) == "none");
}

// Guards against a message that isn't a valid registration but is accepted as one, so that requests are sent to an instance that doesn't exist.
CATCH_TEST_CASE("A registration is decoded, and one with missing or mistyped fields is refused", "[platform]")
{
    const boost::leaf::result<Platform::RelayMessages::Registration> read = Platform::readRegistration("i-1", goodRegistration().dump());
    CATCH_REQUIRE(read);
    CATCH_CHECK(read->id() == "i-1");
    CATCH_CHECK(read->host() == "10.0.0.9");
    CATCH_CHECK(read->port() == 8080);
    CATCH_CHECK(read->slots() == 3);
    CATCH_CHECK(read->sequence() == 4);
    CATCH_CHECK(read->started_at_milliseconds() == 1775485916142);
    CATCH_CHECK(read->state() == Platform::RelayMessages::REGISTRATION_STATE_READY);
    for (const char *field : {"service", "address", "zone", "version", "max_concurrency", "state", "warmup_left_ms", "seq", "born"}) {
        CATCH_CAPTURE(field);
        Json missing = goodRegistration();
        missing.erase(field);
        CATCH_CHECK_FALSE(isRegistration(missing));
        Json mistyped = goodRegistration();
        mistyped[field] = mistyped[field].is_string() ? Json(1) : Json("1");
        CATCH_CHECK_FALSE(isRegistration(mistyped));
    }
    for (const char *state : {"", "READY", "gone"}) {
        Json unknown = goodRegistration();
        unknown["state"] = state;
        CATCH_CHECK_FALSE(isRegistration(unknown));
    }
    for (const char *address : {"", "10.0.0.9", "10.0.0.9:0", "host:80"}) {
        Json wrong = goodRegistration();
        wrong["address"] = address;
        CATCH_CHECK_FALSE(isRegistration(wrong));
    }
    Json fraction = goodRegistration();
    fraction["born"] = 1.5;
    CATCH_CHECK_FALSE(isRegistration(fraction));
    CATCH_CHECK_FALSE(static_cast<bool>(Platform::readRegistration("i-1", "\x01\x02")));
}

// Guards against an odd entry of another writer that hides a working instance: its number would be higher than those of all later registrations.
CATCH_TEST_CASE("A registration with numbers that no instance can have is refused", "[platform][odd-entries]")
{
    const std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    for (const char *field : {"seq", "born", "max_concurrency", "warmup_left_ms"}) {
        CATCH_CAPTURE(field);
        for (const Json &value : {Json(largest), Json(std::uint64_t{1} << 62), Json(-1), Json(1e300), Json(0.5)}) {
            Json odd = goodRegistration();
            odd[field] = value;
            CATCH_CHECK_FALSE(isRegistration(odd));
        }
    }
    for (const char *number : {"1e999", "99999999999999999999999999", "-99999999999999999999999999"}) {
        std::string text = goodRegistration().dump();
        text.replace(text.find("\"seq\":4"), 7, std::string("\"seq\":") + number);
        CATCH_CHECK_FALSE(static_cast<bool>(Platform::readRegistration("i-1", text)));
    }
    for (const char *address : {"10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1", "10.0.0.9:+80", "10.0.0.9:80 ", "10.0.0.999:80"}) {
        Json odd = goodRegistration();
        odd["address"] = address;
        CATCH_CAPTURE(address);
        CATCH_CHECK_FALSE(isRegistration(odd));
    }
}

// Guards against a control VM that ends, or takes a second, on a body with hundreds of thousands of open brackets.
CATCH_TEST_CASE("Deeply nested bodies are refused", "[platform][odd-entries]")
{
    constexpr std::size_t depth = 500000;
    std::string objects;
    for (std::size_t level = 0; level < depth / 5; ++level) {
        objects += "{\"a\":";
    }
    const std::string lists(depth, '[');
    const std::string closedLists = lists + std::string(depth, ']');
    std::string nestedField = goodRegistration().dump();
    nestedField.insert(1, "\"x\":" + closedLists + ",");
    for (const std::string &text : {lists, closedLists, objects}) {
        CATCH_CHECK_FALSE(static_cast<bool>(Platform::readRegistration("i-1", text)));
        CATCH_CHECK(invalidField(text).empty());
    }
    // A field that isn't known is ignored, whatever it holds.
    CATCH_CHECK(static_cast<bool>(Platform::readRegistration("i-1", nestedField)));
}

// Guards against a check-in that writes requests of its own into those to an instance: the id is sent in a header.
CATCH_TEST_CASE("An id of an instance that can't be sent in a header is refused", "[platform][odd-entries][smuggling]")
{
    for (const std::string id : {"i-1\r\nX-A: b", "i-1\n", "\ri-1", "i-1 ", " i-1", "i\t1", "i-\x7f"}) {
        CATCH_CAPTURE(id);
        CATCH_CHECK_FALSE(static_cast<bool>(Platform::checkInstanceId(id)));
        CATCH_CHECK_FALSE(static_cast<bool>(Platform::readRegistration(id, goodRegistration().dump())));
    }
    CATCH_CHECK_FALSE(static_cast<bool>(Platform::checkInstanceId(std::string("i\0", 2))));
    CATCH_CHECK(static_cast<bool>(Platform::checkInstanceId("i-7f3a91c2")));
}

// Guards against a tenant whose name ends the header in which instances get it.
CATCH_TEST_CASE("A configuration with a tenant whose name can't be sent in a header is refused", "[platform][smuggling]")
{
    for (const std::string name : {"t1\r\nX-A: b", "t1\n", "", " t1", "t1\x7f"}) {
        CATCH_CAPTURE(name);
        Json json = goodConfiguration();
        json["tenants"][name] = json["tenants"]["t1"];
        json["tenants"].erase("t1");
        CATCH_CHECK(invalidField(json.dump()) == "tenants." + name);
    }
}

// Guards against VMs that lose the stream to their relay again and again, because a message contains a text that protobuf refuses to read.
CATCH_TEST_CASE("An id that isn't UTF-8 is refused, and every registration that is accepted can be read by VMs", "[platform][odd-entries]")
{
    for (const std::string id : {"\xff", "i-\xc3", "\xed\xa0\x80", ""}) {
        CATCH_CHECK_FALSE(static_cast<bool>(Platform::readRegistration(id, goodRegistration().dump())));
        CATCH_CHECK_FALSE(static_cast<bool>(Platform::checkInstanceId(id)));
    }
    CATCH_CHECK_FALSE(static_cast<bool>(Platform::checkInstanceId(std::string(100000, 'i'))));
    const boost::leaf::result<Platform::RelayMessages::Registration> read = Platform::readRegistration("i-\xc3\xa4", goodRegistration().dump());
    CATCH_REQUIRE(read);
    Platform::RelayMessages::Registration received;
    CATCH_CHECK(received.ParseFromString(read->SerializeAsString()));
}
