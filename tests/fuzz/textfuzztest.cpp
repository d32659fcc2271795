#include "fuzz/mutator.h"
#include "process/settings/settings.h"
#include "request/callerkey.h"
#include "request/requestdeadline.h"
#include "request/requesttarget.h"
#include "request/tracecontext.h"
#include "unit/process/administration/administrationmocks.h"
#include "version/cataloguejson.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Hyssophall;
using HyssophallTest::Mutator;

namespace {

constexpr int rounds = 4000;

const std::vector<std::string> settingsCorpus{
    "[vm]\nid = vm-1\nfailure_domain = a\n[listen]\ncaller = 127.0.0.1:8080\nadministration = 127.0.0.1:8081\nfleet = [::1]:8082\n"
    "[fleet]\nsecret = 0123456789abcdef\npeers = 127.0.0.1:1, 127.0.0.2:2 ; comment\ngossip_interval_ms = 100\n",
    "[claims]\nretention_s = 30\n[operators]\nalice = " + std::string(64, 'a') + "\n[vm]\nrole = control\ndata_folder = /x\n[limits]\nrate_wait_ms = 0",
    "\xef\xbb\xbf[vm]\nid : vm-1\n  continued\n#x\n;y\n"};

const std::vector<std::string> bodyCorpus{R"({"change_id":"c1","expected_version":0,"change":{"put_team":{"name":"red","rate":10,"burst":5,"weight":1.5}}})",
    R"({"change_id":"c2","expected_version":1,"change":{"put_service":{"name":"orders","floor_per_mille":500,"announce_token_hash":"00ff"}}})",
    R"({"change_id":"c3","expected_version":2,"change":{"put_route":{"name":"r","service":"orders","teams":["red"],"class":"idempotent"}}})",
    R"({"change_id":"c4","expected_version":0,"change":{"put_member":{"id":"a","fleet_address":"127.0.0.1:1","admitted_incarnation":"7"}}})",
    R"({"change_id":"c5","expected_version":0,"id":"key-1","team":"red"})",
    R"({"replicas":[{"id":"a","address":"127.0.0.1:1","disk_incarnation":"7"}]})",
    R"({"instance":{"id":"o-1","service":"orders","host":"127.0.0.1","port":80,"failure_domain":"a","slots":3,"state":"ready","incarnation":"1"},)"
    R"("lease_milliseconds":10000})"};

} // namespace

// Guards against settings that crash the parser or are refused without a type.
CATCH_TEST_CASE("Mutated settings are read or refused with a type", "[fuzz][settings]")
{
    Mutator mutator(1);
    for (int round = 0; round < rounds; ++round) {
        const std::string text = mutator.mutated(settingsCorpus);
        CATCH_INFO("round " << round << ": " << text);
        const bool typed = boost::leaf::try_handle_all(
            [&text]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(Settings::create(text, "fuzz.ini"));
                return true;
            },
            [](const InvalidSetting &fault) { return !fault.expected.empty(); },
            [] { return false; });
        CATCH_REQUIRE(typed);
    }
}

// Guards against bodies of the administration API that crash it or end in an untyped failure.
CATCH_TEST_CASE("Mutated bodies of the administration API are answered with a known status", "[fuzz][administration]")
{
    const std::vector<std::pair<std::string, std::vector<std::string>>> endpoints{{"POST", {"v1", "changes"}},
        {"POST", {"v1", "keys"}},
        {"POST", {"v1", "announce"}},
        {"POST", {"v1", "control", "bootstrap"}},
        {"PUT", {"v1", "control", "replicas", "a"}}};
    ApiFixture fixture;
    Mutator mutator(2);
    for (int round = 0; round < rounds; ++round) {
        const std::string body = mutator.mutated(bodyCorpus);
        const std::pair<std::string, std::vector<std::string>> &endpoint = endpoints[mutator.below(endpoints.size())];
        CATCH_INFO("round " << round << ": " << endpoint.second.back() << " " << body);
        const Administration::HttpResponse answer = fixture.send(endpoint.first, endpoint.second, body);
        CATCH_REQUIRE((answer.status == 200 || answer.status == 401 || answer.status == 409 || answer.status == 422));
        CATCH_REQUIRE(nlohmann::json::accept(answer.body));
    }
    CATCH_REQUIRE(fixture.send("GET", {"v1", "catalogue"}).status == 200);
}

// Guards against nesting that overflows the stack, in the parser or in the destructor of what was parsed.
CATCH_TEST_CASE("Deeply nested JSON is refused", "[fuzz][administration]")
{
    for (const std::string &part : {std::string("["), std::string("{\"a\":"), std::string("[{\"a\":")}) {
        std::string text;
        while (text.size() < 1000000) {
            text += part;
        }
        CATCH_REQUIRE_FALSE(parseJson(text));
    }
}

// Guards against headers and targets that are read beyond their end.
CATCH_TEST_CASE("Mutated headers and targets are read or refused", "[fuzz][proxy]")
{
    const std::vector<std::string> corpus{"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "Bearer key",
        "Bearer ",
        "1000",
        "9223372036854775807",
        "/orders/new?x=1#y",
        "//a/../b/%2e%2e",
        "*",
        "http://host/path",
        ""};
    Mutator mutator(3);
    for (int round = 0; round < rounds; ++round) {
        const std::string text = mutator.mutated(corpus);
        CATCH_INFO("round " << round << ": " << text);
        const TraceContext trace = TraceContext::create(&text, [] { return 5; });
        CATCH_REQUIRE(trace.traceId.size() == 32);
        CATCH_REQUIRE(trace.traceparent(trace.spanId).size() == 55);
        const std::optional<std::chrono::milliseconds> timeout
            = requestTimeout({{"X-Request-Timeout-Ms", text}}, "X-Request-Timeout-Ms", std::chrono::seconds(10));
        CATCH_REQUIRE((!timeout || (timeout->count() > 0 && *timeout <= maximumRequestTimeout)));
        callerKeyHash({{"Authorization", text}});
        CATCH_REQUIRE(targetPath(text).size() <= text.size());
        CATCH_REQUIRE((!isPlainTarget(text) || text.find_first_of(std::string("\r\n\0 ", 4)) == std::string::npos));
    }
}
