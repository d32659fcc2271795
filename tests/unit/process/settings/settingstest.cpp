#include "process/settings/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace Hyssophall;

namespace {

const std::string minimal = "[vm]\nid = vm-1\nfailure_domain = a\n"
                            "[listen]\ncaller = 127.0.0.1:8080\nadministration = 127.0.0.1:8081\nfleet = [::1]:8082\n"
                            "[fleet]\nsecret = 0123456789abcdef\n";

/// "line setting" of the fault in the text, or nothing for a good text.
std::string faultOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(Settings::create(text, "test.ini"));
            return std::string();
        },
        [](const InvalidSetting &fault) { return fault.file + ":" + std::to_string(fault.line) + " " + fault.setting; },
        []() { return std::string("untyped"); });
}

} // namespace

// Guards against a value that lands in another setting or unit.
CATCH_TEST_CASE("Settings are read with their units and defaults", "[settings]")
{
    const std::string hash(64, 'a');
    const std::string text = minimal + "peers = 127.0.0.1:1, 127.0.0.2:2 ; comment\ngossip_interval_ms = 100\n[claims]\nretention_s = 30\n[operators]\nalice = "
        + hash + "\n[vm]\nrole = control\ndata_folder = /var/lib/hyssophall\n[limits]\nrate_wait_ms = 0";
    const boost::leaf::result<Settings> settings = Settings::create(text, "test.ini");
    CATCH_REQUIRE(settings);
    CATCH_REQUIRE(settings->vm.role == Role::Control);
    CATCH_REQUIRE(settings->listen.fleet.address() == "[::1]:8082");
    CATCH_REQUIRE(settings->fleet.peers == std::vector<std::string>{"127.0.0.1:1", "127.0.0.2:2"});
    CATCH_REQUIRE(settings->fleet.gossipInterval == std::chrono::milliseconds(100));
    CATCH_REQUIRE(settings->fleet.shardLease == std::chrono::milliseconds(2000));
    CATCH_REQUIRE(settings->claims.retention == std::chrono::seconds(30));
    CATCH_REQUIRE(settings->limits.rateWait == std::chrono::milliseconds(0));
    CATCH_REQUIRE(settings->operators.at("alice") == hash);
}

// Guards against settings that are silently ignored, cut or taken with another meaning.
CATCH_TEST_CASE("Bad settings are refused with their line and name", "[settings]")
{
    CATCH_REQUIRE(faultOf(minimal) == "");
    CATCH_REQUIRE(faultOf(minimal + "gossip_interval = 5\n") == "test.ini:10 fleet.gossip_interval");
    CATCH_REQUIRE(faultOf(minimal + "secret = 0123456789abcdeg\n") == "test.ini:10 fleet.secret");
    CATCH_REQUIRE(faultOf(minimal + "peers = 127.0.0.1:1,\n  127.0.0.1:2\n") == "test.ini:10 fleet.peers");
    CATCH_REQUIRE(faultOf(minimal + "gossip_interval_ms = 100\n  200\n") == "test.ini:11 fleet.gossip_interval_ms");
    for (const char *value : {"", "-1", "100ms", "1e3", "99999999999999999999", "0"}) {
        CATCH_CAPTURE(value);
        CATCH_REQUIRE(faultOf(minimal + "gossip_interval_ms = " + value + "\n") == "test.ini:10 fleet.gossip_interval_ms");
    }
    for (const char *value : {"localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "127.0.0.1:1,127.0.0.1:1"}) {
        CATCH_CAPTURE(value);
        CATCH_REQUIRE(faultOf(minimal + "peers = " + value + "\n") == "test.ini:10 fleet.peers");
    }
    for (const char *value : {"", "-1", "6 s", "nan", "inf", "3601"}) {
        CATCH_CAPTURE(value);
        CATCH_REQUIRE(faultOf(minimal + "[shutdown]\nkill_after_s = " + value + "\n") == "test.ini:11 shutdown.kill_after_s");
    }
    CATCH_REQUIRE(faultOf(minimal + "[shutdown]\nkill_after_s = 7.5\n") == "");
    CATCH_REQUIRE(faultOf(minimal + "[operators]\nbob = " + std::string(64, 'A') + "\n") == "test.ini:11 operators.bob");
    CATCH_REQUIRE(faultOf(minimal + "[vm]\nrole = control\n") == "test.ini:0 vm.data_folder");
    CATCH_REQUIRE(faultOf(minimal + "nonsense\nunknown = 1\n") == "test.ini:10 ");
    CATCH_REQUIRE(faultOf(minimal + "unknown = 1\nnonsense\n") == "test.ini:10 fleet.unknown");
    CATCH_REQUIRE(faultOf(minimal + "peers = " + std::string(200, '1') + "\n") == "test.ini:10 ");
    CATCH_REQUIRE(faultOf(std::string("a\0b", 3)) == "test.ini:0 ");
    CATCH_REQUIRE(faultOf("") == "test.ini:0 fleet.secret");
}

// Guards against a control VM of a relayed fleet that starts without a port for registrations, and against header names that can't be sent.
CATCH_TEST_CASE("Settings of a relayed fleet are checked together", "[settings]")
{
    const std::string common = "[vm]\nid = vm-1\nfailure_domain = a\n[listen]\nadministration = 127.0.0.1:8081\nfleet = 127.0.0.1:8082\n"
                               "[fleet]\nsecret = 0123456789abcdef\n[relay]\nenabled = true\nseeds = 127.0.0.1:1\n";
    const std::string control = common + "[vm]\nrole = control\ndata_folder = /data\n";
    CATCH_REQUIRE(faultOf(common) == "test.ini:0 listen.caller");
    CATCH_REQUIRE(faultOf(common + "[listen]\ncaller = 127.0.0.1:8080\n") == "");
    CATCH_REQUIRE(faultOf(control) == "test.ini:0 listen.registration");
    CATCH_REQUIRE(faultOf(control + "[listen]\nregistration = 127.0.0.1:8083\n") == "");
    CATCH_REQUIRE(faultOf(minimal + "[relay]\nenabled = yes\n") == "test.ini:11 relay.enabled");
    CATCH_REQUIRE(faultOf(minimal + "[headers]\nkey = X Key\n") == "test.ini:11 headers.key");
    CATCH_REQUIRE(faultOf(minimal + "[bounds]\nretry_ratio = 1.5\n") == "test.ini:11 bounds.retry_ratio");
    const boost::leaf::result<Settings> settings
        = Settings::create(minimal + "[headers]\nkey = X-Key\n[bounds]\nretry_ratio = 0.2\nretry_slack = 64\nfail_closed = true\n", "test.ini");
    CATCH_REQUIRE(settings);
    CATCH_REQUIRE(settings->headers.key == "X-Key");
    CATCH_REQUIRE_FALSE(settings->headers.readsBearer());
    CATCH_REQUIRE(settings->bounds.retryRatio == Approx(0.2));
    CATCH_REQUIRE(settings->bounds.failClosed);
}
