#include "process/fleet/fleettraffic.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

CATCH_TEST_CASE("Messages between VMs are counted by call and direction", "[fleet-traffic]")
{
    // Guards against messages or bytes that are counted under another call or direction.
    FleetTraffic traffic;
    traffic.count("GrantLeasesRequest", FleetTraffic::Direction::Sent, 30);
    traffic.count("GrantLeasesRequest", FleetTraffic::Direction::Sent, 12);
    traffic.count("ExchangeMessage", FleetTraffic::Direction::Received, 7);
    const std::string text = traffic.text();
    CATCH_REQUIRE(text.find("hyssophall_fleet_bytes_total{call=\"GrantLeases\",direction=\"sent\"} 42") != std::string::npos);
    CATCH_REQUIRE(text.find("hyssophall_fleet_messages_total{call=\"GrantLeases\",direction=\"sent\"} 2") != std::string::npos);
    CATCH_REQUIRE(text.find("hyssophall_fleet_bytes_total{call=\"Exchange\",direction=\"received\"} 7") != std::string::npos);
}
