#include "process/relay/relayhub.h"

#include "unit/process/relay/registrations.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Hyssophall;
using HyssophallTest::registrationOf;

namespace {

using Milliseconds = std::chrono::milliseconds;

/// One relay with two VMs and two other relays that are in touch.
struct HubFixture {
    HubFixture()
    {
        RelayHub::Options options;
        options.own.set_address("10.0.0.1:7000");
        options.majority = 2;
        options.board.random = [] { return 1; };
        options.clock = std::chrono::steady_clock::now;
        options.rateWindow = std::chrono::seconds(5);
        RelayHub::Hooks hooks;
        hooks.isControlInTouch = [this] { return this->controlInTouch; };
        hooks.peerFound = [this](const std::shared_ptr<RelayPeer> &peer) { this->peers.push_back(peer); };
        this->hub = std::make_unique<RelayHub>(options, hooks);
        for (const char *address : {"10.0.0.2:7000", "10.0.0.3:7000"}) {
            RelayMessages::RelayAddress relay;
            relay.set_address(address);
            this->hub->addRelay(relay);
            this->hub->receiveFromPeer(*this->peers.back(), RelayMessages::News());
        }
        this->first = this->connect("vm-1");
        this->second = this->connect("vm-2");
        this->news(this->first->buffer);
        this->news(this->second->buffer);
    }

    std::shared_ptr<RelaySubscriber> connect(const std::string &vm, const std::string &relayAddress = "")
    {
        RelayMessages::News greeting;
        greeting.mutable_greeting()->set_vm(vm);
        greeting.mutable_greeting()->set_relay_address(relayAddress);
        return this->hub->connect(greeting);
    }

    RelayMessages::News news(NewsBuffer &buffer)
    {
        return buffer.take(std::chrono::steady_clock::now(), {Milliseconds(0), Milliseconds(0)}).value();
    }

    static RelayMessages::News outcomesOf(const RelayMessages::Registration &registration)
    {
        RelayMessages::News news;
        RelayMessages::InstanceOutcomes &outcomes = *news.add_outcomes();
        outcomes.set_instance(InstanceTable::handleOf(registration));
        outcomes.set_failed(1);
        return news;
    }

    bool controlInTouch = true;
    std::vector<std::shared_ptr<RelayPeer>> peers;
    std::unique_ptr<RelayHub> hub;
    std::shared_ptr<RelaySubscriber> first;
    std::shared_ptr<RelaySubscriber> second;
};

} // namespace

// Guards against news that comes back to where it came from, comes twice, or goes in circles between relays.
CATCH_TEST_CASE("News of a VM reaches all others once, news of a relay reaches VMs alone", "[relay]")
{
    HubFixture fixture;
    const RelayMessages::Registration instance = registrationOf("i-1", 1, 1);
    CATCH_REQUIRE(fixture.hub->publish(instance, false, SteadyTime()));
    for (NewsBuffer *buffer : {&fixture.first->buffer, &fixture.second->buffer, &fixture.peers[0]->buffer}) {
        CATCH_CHECK(fixture.news(*buffer).registrations_size() == 1);
    }
    fixture.news(fixture.peers[1]->buffer);
    fixture.hub->receive(*fixture.first, HubFixture::outcomesOf(instance));
    CATCH_CHECK(fixture.news(fixture.first->buffer).outcomes_size() == 0);
    CATCH_CHECK(fixture.news(fixture.second->buffer).outcomes_size() == 1);
    CATCH_CHECK(fixture.news(fixture.peers[0]->buffer).outcomes_size() == 1);
    const std::shared_ptr<RelaySubscriber> relay = fixture.connect("relay-2", "10.0.0.2:7000");
    fixture.hub->receive(*relay, HubFixture::outcomesOf(instance));
    CATCH_CHECK(fixture.news(fixture.first->buffer).outcomes_size() == 1);
    CATCH_CHECK(fixture.news(fixture.peers[1]->buffer).outcomes_size() == 1);
    fixture.hub->receive(*relay, HubFixture::outcomesOf(instance));
    CATCH_CHECK(fixture.news(fixture.peers[1]->buffer).outcomes_size() == 0);
}

// Guards against an acknowledged drain that VMs of other relays never hear of.
CATCH_TEST_CASE("A leaving instance is acknowledged once a majority of the relays has confirmed it", "[relay][leaving-upstream]")
{
    HubFixture fixture;
    RelayMessages::Registration leaving = registrationOf("i-1", 1, 2);
    leaving.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    CATCH_CHECK_FALSE(fixture.hub->publish(leaving, true, std::chrono::steady_clock::now() + Milliseconds(20)));
    std::thread peer([&fixture] {
        std::this_thread::sleep_for(Milliseconds(50));
        RelayMessages::News confirmation;
        confirmation.set_confirmed(fixture.news(fixture.peers[0]->buffer).sequence());
        fixture.hub->receiveFromPeer(*fixture.peers[0], confirmation);
    });
    // It is told again though it is known here, since the first time it may not have arrived.
    CATCH_CHECK(fixture.hub->publish(leaving, true, std::chrono::steady_clock::now() + std::chrono::seconds(5)));
    peer.join();
}

// Guards against VMs that stay with a relay which no longer hears of changes, and against limits that count VMs twice or not at all.
CATCH_TEST_CASE("A relay tells how far its view can be trusted", "[relay][fleet-limit]")
{
    HubFixture fixture;
    RelayMessages::RelayStatus status = fixture.hub->status();
    CATCH_CHECK(status.current());
    CATCH_CHECK(status.visible_vms() == 2);
    const std::shared_ptr<RelaySubscriber> relay = fixture.connect("relay-2", "10.0.0.2:7000");
    RelayMessages::News theirs;
    for (const char *vm : {"vm-2", "vm-3"}) {
        RelayMessages::VmPresence &presence = *theirs.add_vms();
        presence.set_vm(vm);
        presence.set_present(true);
    }
    fixture.hub->receive(*relay, theirs);
    status = fixture.hub->status();
    CATCH_CHECK(status.visible_vms() == 3);
    CATCH_CHECK(status.known_vms() == 3);
    fixture.hub->peerDisconnected(*fixture.peers[0]);
    status = fixture.hub->status();
    CATCH_CHECK(status.visible_vms() == 2);
    CATCH_CHECK(status.known_vms() == 3);
    CATCH_CHECK(status.current());
    fixture.hub->peerDisconnected(*fixture.peers[1]);
    CATCH_CHECK_FALSE(fixture.hub->status().current());
    fixture.hub->receiveFromPeer(*fixture.peers[1], RelayMessages::News());
    fixture.controlInTouch = false;
    CATCH_CHECK_FALSE(fixture.hub->status().current());
}

// Guards against a relay that forgot what leaves since all relays restarted, and against keys on entry VMs.
CATCH_TEST_CASE("A VM that connects tells what it knows and gets the configuration without what operators sent", "[relay][key-isolation]")
{
    HubFixture fixture;
    CatalogueMessages::Configuration configuration;
    configuration.set_version(3);
    configuration.set_document("keys in the clear");
    fixture.hub->setConfiguration(std::make_shared<const CatalogueMessages::Configuration>(configuration));
    CATCH_CHECK(fixture.news(fixture.first->buffer).configuration().document().empty());
    RelayMessages::News greeting;
    greeting.mutable_greeting()->set_vm("vm-3");
    RelayMessages::Registration leaving = registrationOf("i-9", 1, 4);
    leaving.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    *greeting.add_registrations() = leaving;
    const std::shared_ptr<RelaySubscriber> third = fixture.hub->connect(greeting);
    CATCH_CHECK(fixture.news(third->buffer).configuration().version() == 3);
    CATCH_CHECK(fixture.news(fixture.first->buffer).registrations(0).state() == RelayMessages::REGISTRATION_STATE_DRAINING);
}

// Guards against VMs that stay with a relay of another failure domain since the domain of a seed was never told.
CATCH_TEST_CASE("The failure domain of a relay that was known as a seed is told once it greets", "[relay]")
{
    HubFixture fixture;
    RelayMessages::News greeting;
    greeting.mutable_greeting()->set_vm("relay-2");
    greeting.mutable_greeting()->set_relay_address("10.0.0.2:7000");
    greeting.mutable_greeting()->set_failure_domain("b");
    fixture.hub->connect(greeting);
    const RelayMessages::News told = fixture.news(fixture.first->buffer);
    CATCH_REQUIRE(told.relays_size() == 1);
    CATCH_CHECK(told.relays(0).failure_domain() == "b");
    CATCH_CHECK(fixture.peers.size() == 2);
}

// Guards against renewals of every instance that cross failure domains every second.
CATCH_TEST_CASE("A renewal that changes nothing is passed on to nobody", "[relay]")
{
    HubFixture fixture;
    fixture.hub->publish(registrationOf("i-1", 1, 1), false, SteadyTime());
    fixture.news(fixture.first->buffer);
    fixture.news(fixture.peers[0]->buffer);
    fixture.hub->publish(registrationOf("i-1", 1, 2), false, SteadyTime());
    CATCH_CHECK(fixture.news(fixture.first->buffer).registrations().empty());
    CATCH_CHECK(fixture.news(fixture.peers[0]->buffer).registrations().empty());
    fixture.hub->publish(registrationOf("i-1", 2, 1), false, SteadyTime());
    CATCH_CHECK(fixture.news(fixture.first->buffer).registrations_size() == 1);
}

// Guards against a team over its limit that no log or metric shows, because each VM tells of its own requests alone.
CATCH_TEST_CASE("A relay tells how much of its limit a team used over all VMs", "[relay][fleet-limit]")
{
    HubFixture fixture;
    CatalogueMessages::Configuration configuration;
    configuration.set_version(1);
    CatalogueMessages::Team &team = *configuration.add_teams();
    team.set_name("red");
    team.set_rate(10);
    team.set_burst(10);
    fixture.hub->setConfiguration(std::make_shared<const CatalogueMessages::Configuration>(configuration));
    CATCH_CHECK(fixture.hub->largestTeamUse() == 0);
    RelayMessages::News news;
    RelayMessages::TeamUse &use = *news.add_teams();
    use.set_team("red");
    use.set_admitted(30);
    fixture.hub->receive(*fixture.first, news);
    CATCH_CHECK(fixture.hub->largestTeamUse() == Approx(0.5));
    fixture.hub->receive(*fixture.second, news);
    CATCH_CHECK(fixture.hub->largestTeamUse() == Approx(1));
}

// Guards against relays that have just started, have seen a few VMs, and let each of these take a large part of the limits.
CATCH_TEST_CASE("A relay that has just started goes by the size that the fleet had", "[relay][fleet-limit]")
{
    HubFixture fixture;
    CATCH_CHECK(fixture.hub->status().known_vms() == 2);
    fixture.hub->rememberFleet(40);
    CATCH_CHECK(fixture.hub->status().known_vms() == 40);
    CATCH_CHECK(fixture.hub->status().visible_vms() == 2);
    // A VM that was there before knows it, too.
    RelayMessages::News greeting;
    greeting.mutable_greeting()->set_vm("vm-3");
    greeting.mutable_greeting()->set_known_vms(48);
    fixture.hub->connect(greeting);
    CATCH_CHECK(fixture.hub->status().known_vms() == 48);
    CATCH_CHECK(fixture.hub->greetPeer(*fixture.peers[0]).greeting().known_vms() == 48);
}

// Guards against a VM that starts during a flood and doesn't know what the window holds.
CATCH_TEST_CASE("A VM that connects is told what teams were admitted before", "[relay][fleet-limit]")
{
    HubFixture fixture;
    RelayMessages::News news;
    RelayMessages::TeamUse &use = *news.add_teams();
    use.set_team("red");
    use.set_admitted(7);
    fixture.hub->receive(*fixture.first, news);
    const std::shared_ptr<RelaySubscriber> third = fixture.connect("vm-3");
    const RelayMessages::AdmissionRecord told = fixture.news(third->buffer).admissions();
    CATCH_REQUIRE(told.teams_size() == 1);
    CATCH_CHECK(told.teams(0).team() == "red");
    CATCH_CHECK(told.teams(0).counts(0) == 7);
    CATCH_REQUIRE(told.heard_size() >= 1);
    CATCH_CHECK(fixture.hub->greetPeer(*fixture.peers[0]).admissions().teams_size() == 1);
}
