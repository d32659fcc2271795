#include "process/relay/relayhub.h"

#include "unit/process/relay/registrations.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace Hyssophall;
using HyssophallTest::registrationOf;

namespace {

using Milliseconds = std::chrono::milliseconds;

/// Stores departures when the test says so.
class MockDepartureStore : public DepartureStore
{
public:
    std::uint64_t add(const RelayMessages::Registration &registration) override
    {
        this->registrations.push_back(registration);
        return this->registrations.size();
    }

    std::uint64_t stored() const override
    {
        return this->storedNumber;
    }

    std::vector<RelayMessages::Registration> registrations;
    std::atomic<std::uint64_t> storedNumber{0};
};

/// One relay with two VMs and two other relays, all connected.
struct HubFixture {
    explicit HubFixture(DepartureStore *departures = nullptr)
    {
        RelayHub::Options options;
        options.departures = departures;
        options.own.set_address("10.0.0.1:7000");
        options.majority = 2;
        options.board.random = [] { return 1; };
        options.clock = std::chrono::steady_clock::now;
        options.rateWindow = std::chrono::seconds(5);
        RelayHub::Hooks hooks;
        hooks.isControlReplicaUpToDate = [this] { return this->isReplicaUpToDate; };
        hooks.peerFound = [this](const std::shared_ptr<RelayPeer> &peer) { this->peers.push_back(peer); };
        this->hub = std::make_unique<RelayHub>(options, hooks);
        for (const char *address : {"10.0.0.2:7000", "10.0.0.3:7000"}) {
            RelayMessages::RelayAddress relay;
            relay.set_address(address);
            this->hub->addRelay(relay);
            this->hub->receiveFromPeer(*this->peers.back(), RelayMessages::Update());
        }
        this->first = this->connect("vm-1");
        this->second = this->connect("vm-2");
        this->nextMessage(this->first->buffer);
        this->nextMessage(this->second->buffer);
    }

    std::shared_ptr<RelaySubscriber> connect(const std::string &vm, const std::string &relayAddress = "")
    {
        RelayMessages::Update greeting;
        greeting.mutable_greeting()->set_vm(vm);
        greeting.mutable_greeting()->set_relay_address(relayAddress);
        return this->hub->connect(greeting);
    }

    RelayMessages::Update nextMessage(UpdateBuffer &buffer)
    {
        return buffer.nextMessage(std::chrono::steady_clock::now(), {Milliseconds(0), Milliseconds(0)}).value();
    }

    static RelayMessages::Update outcomesOf(const RelayMessages::Registration &registration)
    {
        RelayMessages::Update update;
        RelayMessages::InstanceOutcomes &outcomes = *update.add_outcomes();
        outcomes.set_instance(InstanceTable::handleOf(registration));
        outcomes.set_failed(1);
        return update;
    }

    bool isReplicaUpToDate = true;
    std::vector<std::shared_ptr<RelayPeer>> peers;
    std::unique_ptr<RelayHub> hub;
    std::shared_ptr<RelaySubscriber> first;
    std::shared_ptr<RelaySubscriber> second;
};

} // namespace

// Guards against VMs that answer 503 in place of 401 or 404 for a heartbeat interval after their relay has become current.
CATCH_TEST_CASE("A relay tells its VMs at once that it has become current", "[relay][config-in-force]")
{
    HubFixture fixture;
    const auto isTold = [&fixture] {
        const SteadyTime begin = std::chrono::steady_clock::now();
        const UpdateBuffer::BatchDelay none{Milliseconds(0), Milliseconds(0)};
        fixture.first->buffer.nextMessage(begin + Milliseconds(1000), none);
        return std::chrono::steady_clock::now() - begin < Milliseconds(900);
    };
    fixture.isReplicaUpToDate = false;
    fixture.hub->announceCurrent();
    CATCH_CHECK(!isTold());
    fixture.isReplicaUpToDate = true;
    fixture.hub->announceCurrent();
    CATCH_CHECK(isTold());
    RelayMessages::Update update;
    fixture.hub->addStatus(*fixture.first, update);
    CATCH_CHECK(update.status().current());
    // Nothing has changed since.
    fixture.hub->announceCurrent();
    CATCH_CHECK(!isTold());
}

// Guards against updates that are sent back to their sender, are delivered twice, or circulate between relays.
CATCH_TEST_CASE("Updates of a VM reach all other VMs and relays once, updates of a relay reach only VMs", "[relay]")
{
    HubFixture fixture;
    const RelayMessages::Registration instance = registrationOf("i-1", 1, 1);
    CATCH_REQUIRE(fixture.hub->publish(instance, false, SteadyTime()));
    for (UpdateBuffer *buffer : {&fixture.first->buffer, &fixture.second->buffer, &fixture.peers[0]->buffer}) {
        CATCH_CHECK(fixture.nextMessage(*buffer).registrations_size() == 1);
    }
    fixture.nextMessage(fixture.peers[1]->buffer);
    fixture.hub->receive(*fixture.first, HubFixture::outcomesOf(instance));
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).outcomes_size() == 0);
    CATCH_CHECK(fixture.nextMessage(fixture.second->buffer).outcomes_size() == 1);
    CATCH_CHECK(fixture.nextMessage(fixture.peers[0]->buffer).outcomes_size() == 1);
    const std::shared_ptr<RelaySubscriber> relay = fixture.connect("relay-2", "10.0.0.2:7000");
    fixture.hub->receive(*relay, HubFixture::outcomesOf(instance));
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).outcomes_size() == 1);
    CATCH_CHECK(fixture.nextMessage(fixture.peers[1]->buffer).outcomes_size() == 1);
    fixture.hub->receive(*relay, HubFixture::outcomesOf(instance));
    CATCH_CHECK(fixture.nextMessage(fixture.peers[1]->buffer).outcomes_size() == 0);
}

// Guards against an innocent request that other VMs take for poison since they don't hear of its responses.
CATCH_TEST_CASE("Lost requests and responses to them reach the other VMs and relays", "[relay][poison]")
{
    HubFixture fixture;
    RelayMessages::Update update;
    update.add_answered_requests(7);
    update.add_lost_requests()->set_fingerprint(8);
    update.mutable_lost_requests(0)->set_round(2);
    // Several VMs may report the same response at once.
    fixture.hub->receive(*fixture.first, update);
    update.clear_lost_requests();
    fixture.hub->receive(*fixture.first, update);
    for (UpdateBuffer *buffer : {&fixture.second->buffer, &fixture.peers[0]->buffer}) {
        const RelayMessages::Update message = fixture.nextMessage(*buffer);
        CATCH_REQUIRE(message.answered_requests_size() == 1);
        CATCH_CHECK(message.answered_requests(0) == 7);
        CATCH_REQUIRE(message.lost_requests_size() == 1);
        CATCH_CHECK(message.lost_requests(0).round() == 2);
    }
}

// Guards against a drain that is acknowledged to the instance while VMs of other relays never learn of it and go on sending requests.
CATCH_TEST_CASE("A leaving instance is acknowledged once a majority of the relays has confirmed it", "[relay][leaving-upstream]")
{
    HubFixture fixture;
    RelayMessages::Registration leaving = registrationOf("i-1", 1, 2);
    leaving.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    CATCH_CHECK_FALSE(fixture.hub->publish(leaving, true, std::chrono::steady_clock::now() + Milliseconds(20)));
    std::thread peer([&fixture] {
        std::this_thread::sleep_for(Milliseconds(50));
        RelayMessages::Update confirmation;
        confirmation.set_confirmed(fixture.nextMessage(fixture.peers[0]->buffer).sequence());
        fixture.hub->receiveFromPeer(*fixture.peers[0], confirmation);
    });
    // The registration is sent again though this relay knows it, since it may not have arrived the first time.
    CATCH_CHECK(fixture.hub->publish(leaving, true, std::chrono::steady_clock::now() + std::chrono::seconds(5)));
    peer.join();
}

// Guards against an acknowledged leave that is lost with the processes of the relays, which hold it in memory alone.
CATCH_TEST_CASE("A leaving instance is acknowledged and confirmed only once it is stored", "[relay][leaving-upstream]")
{
    MockDepartureStore store;
    HubFixture fixture(&store);
    RelayMessages::Registration leaving = registrationOf("i-1", 1, 2);
    leaving.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    const auto confirmFirstPeer = [&fixture] {
        RelayMessages::Update confirmation;
        confirmation.set_confirmed(fixture.nextMessage(fixture.peers[0]->buffer).sequence());
        fixture.hub->receiveFromPeer(*fixture.peers[0], confirmation);
    };
    const auto soon = [] { return std::chrono::steady_clock::now() + Milliseconds(20); };
    CATCH_CHECK_FALSE(fixture.hub->publish(leaving, true, soon()));
    confirmFirstPeer();
    // One other relay has stored it, this one hasn't.
    CATCH_CHECK(store.registrations.size() == 1);
    std::thread peer([&] {
        std::this_thread::sleep_for(Milliseconds(50));
        confirmFirstPeer();
        std::this_thread::sleep_for(Milliseconds(50));
        store.storedNumber = 1;
        fixture.hub->departuresStored();
    });
    CATCH_CHECK(fixture.hub->publish(leaving, true, std::chrono::steady_clock::now() + std::chrono::seconds(5)));
    CATCH_CHECK(store.storedNumber == 1);
    peer.join();

    // The same for what another relay sends: its confirmation waits, that of a VM doesn't.
    const std::shared_ptr<RelaySubscriber> relay = fixture.connect("relay-2", "10.0.0.2:7000");
    RelayMessages::Update update;
    *update.add_registrations() = registrationOf("i-2", 1, 3);
    update.mutable_registrations(0)->set_state(RelayMessages::REGISTRATION_STATE_GONE);
    update.set_sequence(5);
    fixture.hub->receive(*relay, update);
    CATCH_CHECK(relay->confirmed == 0);
    RelayMessages::Update empty;
    empty.set_sequence(6);
    fixture.hub->receive(*relay, empty);
    fixture.hub->receive(*fixture.first, empty);
    CATCH_CHECK(relay->confirmed == 0);
    CATCH_CHECK(fixture.first->confirmed == 6);
    store.storedNumber = 2;
    fixture.hub->departuresStored();
    CATCH_CHECK(relay->confirmed == 6);
    // A renewal of what is stored isn't stored again.
    leaving.set_sequence(9);
    CATCH_CHECK_FALSE(fixture.hub->publish(leaving, true, soon()));
    CATCH_CHECK(store.registrations.size() == 2);
}

// Guards against a relay that spends its processor time on waking the calls of all instances of a release for each message of another relay.
CATCH_TEST_CASE("A leave that waits for its confirmation isn't woken by other messages", "[relay][large-fleet]")
{
    constexpr int leaves = 100;
    constexpr int messages = 300;
    HubFixture fixture;
    std::atomic<long> wakeUps{0};
    std::atomic<int> acknowledged{0};
    std::vector<std::thread> calls;
    for (int number = 0; number < leaves; ++number) {
        calls.emplace_back([&, number] {
            RelayMessages::Registration leaving = registrationOf("i-" + std::to_string(number), 1, 2);
            leaving.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
            acknowledged += fixture.hub->publish(leaving, true, std::chrono::steady_clock::now() + std::chrono::seconds(30)) ? 1 : 0;
            rusage used{};
            getrusage(RUSAGE_THREAD, &used);
            wakeUps += used.ru_nvcsw;
        });
    }
    std::this_thread::sleep_for(Milliseconds(300));
    for (int number = 0; number < messages; ++number) {
        fixture.hub->receiveFromPeer(*fixture.peers[0], RelayMessages::Update());
        std::this_thread::sleep_for(Milliseconds(1));
    }
    RelayMessages::Update confirmation;
    confirmation.set_confirmed(fixture.nextMessage(fixture.peers[0]->buffer).sequence());
    fixture.hub->receiveFromPeer(*fixture.peers[0], confirmation);
    for (std::thread &call : calls) {
        call.join();
    }
    CATCH_CHECK(acknowledged == leaves);
    // The start, the wait, and waits for the lock among a hundred threads.
    CATCH_CHECK(wakeUps < 20 * leaves);
}

// Guards against a late registration that brings an instance back after all relays have restarted.
CATCH_TEST_CASE("A relay that has restarted refuses a late registration of an instance that had left", "[relay][leaving-upstream]")
{
    HubFixture fixture;
    RelayMessages::Registration gone = registrationOf("i-1", 1, 4);
    gone.set_state(RelayMessages::REGISTRATION_STATE_GONE);
    fixture.hub->restore({gone});
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).registrations_size() == 1);
    CATCH_CHECK(fixture.hub->publish(registrationOf("i-1", 1, 5), false, SteadyTime()));
    CATCH_CHECK(fixture.hub->findInstance("i-1")->state() == RelayMessages::REGISTRATION_STATE_GONE);
    // A later start is another incarnation.
    CATCH_CHECK(fixture.hub->publish(registrationOf("i-1", 2, 1), false, SteadyTime()));
    CATCH_CHECK(fixture.hub->findInstance("i-1")->state() == RelayMessages::REGISTRATION_STATE_READY);
}

// Guards against VMs that stay connected to a relay that no longer receives changes, and against limits that count VMs twice or not at all.
CATCH_TEST_CASE("A relay reports whether it is current and how many VMs it sees", "[relay][fleet-limit]")
{
    HubFixture fixture;
    RelayMessages::RelayStatus status = fixture.hub->status();
    CATCH_CHECK(status.current());
    CATCH_CHECK(status.visible_vms() == 2);
    const std::shared_ptr<RelaySubscriber> relay = fixture.connect("relay-2", "10.0.0.2:7000");
    RelayMessages::Update theirs;
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
    fixture.hub->receiveFromPeer(*fixture.peers[1], RelayMessages::Update());
    fixture.isReplicaUpToDate = false;
    CATCH_CHECK_FALSE(fixture.hub->status().current());
}

// Guards against relays that don't know which instances are leaving after all relays have restarted, and against operators' keys that are sent to
// entry VMs with the configuration's document.
CATCH_TEST_CASE("A VM that connects sends its registrations and gets the configuration without the operators' document", "[relay][key-isolation]")
{
    HubFixture fixture;
    CatalogueMessages::Configuration configuration;
    configuration.set_version(3);
    configuration.set_document("keys in the clear");
    fixture.hub->setConfiguration(std::make_shared<const CatalogueMessages::Configuration>(configuration));
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).configuration().document().empty());
    RelayMessages::Update greeting;
    greeting.mutable_greeting()->set_vm("vm-3");
    RelayMessages::Registration leaving = registrationOf("i-9", 1, 4);
    leaving.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    *greeting.add_registrations() = leaving;
    const std::shared_ptr<RelaySubscriber> third = fixture.hub->connect(greeting);
    CATCH_CHECK(fixture.nextMessage(third->buffer).configuration().version() == 3);
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).registrations(0).state() == RelayMessages::REGISTRATION_STATE_DRAINING);
}

// Guards against VMs that stay connected to a relay of another failure domain, because they never learn the failure domain of a seed.
CATCH_TEST_CASE("The failure domain of a relay that was known as a seed is sent to VMs once its greeting arrives", "[relay]")
{
    HubFixture fixture;
    RelayMessages::Update greeting;
    greeting.mutable_greeting()->set_vm("relay-2");
    greeting.mutable_greeting()->set_relay_address("10.0.0.2:7000");
    greeting.mutable_greeting()->set_failure_domain("b");
    fixture.hub->connect(greeting);
    const RelayMessages::Update received = fixture.nextMessage(fixture.first->buffer);
    CATCH_REQUIRE(received.relays_size() == 1);
    CATCH_CHECK(received.relays(0).failure_domain() == "b");
    CATCH_CHECK(fixture.peers.size() == 2);
}

// Guards against traffic across failure domains for renewals, which each instance sends every second or two.
CATCH_TEST_CASE("A renewal that changes nothing isn't forwarded", "[relay]")
{
    HubFixture fixture;
    fixture.hub->publish(registrationOf("i-1", 1, 1), false, SteadyTime());
    fixture.nextMessage(fixture.first->buffer);
    fixture.nextMessage(fixture.peers[0]->buffer);
    fixture.hub->publish(registrationOf("i-1", 1, 2), false, SteadyTime());
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).registrations().empty());
    CATCH_CHECK(fixture.nextMessage(fixture.peers[0]->buffer).registrations().empty());
    fixture.hub->publish(registrationOf("i-1", 2, 1), false, SteadyTime());
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).registrations_size() == 1);
}

// Guards against a team that exceeds its limit without any log message or metric, because each VM reports only its own requests.
CATCH_TEST_CASE("A relay reports how much of its limit a team used over all VMs", "[relay][fleet-limit]")
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
    RelayMessages::Update update;
    RelayMessages::TeamUse &use = *update.add_teams();
    use.set_team("red");
    use.set_admitted(30);
    fixture.hub->receive(*fixture.first, update);
    CATCH_CHECK(fixture.hub->largestTeamUse() == Approx(0.5));
    fixture.hub->receive(*fixture.second, update);
    CATCH_CHECK(fixture.hub->largestTeamUse() == Approx(1));
}

// Guards against a relay that has just started and counts only the few VMs that are connected yet: each of them would admit too large a share of
// the limits.
CATCH_TEST_CASE("A relay that has just started uses the earlier size of the fleet", "[relay][fleet-limit]")
{
    HubFixture fixture;
    CATCH_CHECK(fixture.hub->status().known_vms() == 2);
    fixture.hub->expectVms(40);
    CATCH_CHECK(fixture.hub->status().known_vms() == 40);
    CATCH_CHECK(fixture.hub->status().visible_vms() == 2);
    // A VM that ran before the relay's start may know a higher number.
    RelayMessages::Update greeting;
    greeting.mutable_greeting()->set_vm("vm-3");
    greeting.mutable_greeting()->set_known_vms(48);
    fixture.hub->connect(greeting);
    CATCH_CHECK(fixture.hub->status().known_vms() == 48);
    CATCH_CHECK(fixture.hub->peerGreeting(*fixture.peers[0]).greeting().known_vms() == 48);
}

// Guards against a VM that starts during a flood and admits too much, because it doesn't know what was admitted in the present window.
CATCH_TEST_CASE("A VM that connects receives the admissions of the present window", "[relay][fleet-limit]")
{
    HubFixture fixture;
    RelayMessages::Update update;
    RelayMessages::TeamUse &use = *update.add_teams();
    use.set_team("red");
    use.set_admitted(7);
    fixture.hub->receive(*fixture.first, update);
    const std::shared_ptr<RelaySubscriber> third = fixture.connect("vm-3");
    const RelayMessages::AdmissionRecord received = fixture.nextMessage(third->buffer).admissions();
    CATCH_REQUIRE(received.teams_size() == 1);
    CATCH_CHECK(received.teams(0).team() == "red");
    CATCH_CHECK(received.teams(0).counts(0) == 7);
    CATCH_REQUIRE(received.heard_size() >= 1);
    CATCH_CHECK(fixture.hub->peerGreeting(*fixture.peers[0]).admissions().teams_size() == 1);
}

// Guards against VMs that assume full use of the limits by a VM that was cut off, because its relay keeps the VM's report to itself.
CATCH_TEST_CASE("What a VM admitted while no relay received its reports reaches the other VMs and relays", "[relay][fleet-limit]")
{
    HubFixture fixture;
    RelayMessages::Update greeting;
    greeting.mutable_greeting()->set_vm("vm-3");
    RelayMessages::UnreportedAdmissions &unreported = *greeting.add_unreported();
    unreported.set_vm("vm-3");
    unreported.set_from_age_milliseconds(3000);
    RelayMessages::TeamAdmissions &team = *unreported.add_teams();
    team.set_team("red");
    team.add_ages_milliseconds(2000);
    team.add_counts(4);
    const std::shared_ptr<RelaySubscriber> third = fixture.hub->connect(greeting);
    for (UpdateBuffer *buffer : {&fixture.first->buffer, &fixture.second->buffer, &fixture.peers[0]->buffer, &fixture.peers[1]->buffer}) {
        const RelayMessages::Update update = fixture.nextMessage(*buffer);
        CATCH_REQUIRE(update.unreported_size() == 1);
        CATCH_CHECK(update.unreported(0).teams(0).counts(0) == 4);
    }
    CATCH_CHECK(fixture.nextMessage(third->buffer).unreported().empty());
    // A VM that connects later gets it with the record of the window.
    CATCH_CHECK(fixture.nextMessage(fixture.connect("vm-4")->buffer).admissions().teams(0).counts(0) == 4);
}

// Guards against admissions that are taken for reported because the VM's last message arrived after they were made.
CATCH_TEST_CASE("What a VM admitted just before its stream ended counts when it connects to the same relay again", "[relay][fleet-limit]")
{
    HubFixture fixture;
    fixture.hub->receive(*fixture.first, RelayMessages::Update());
    fixture.hub->disconnect(fixture.first);
    RelayMessages::Update greeting;
    greeting.mutable_greeting()->set_vm("vm-1");
    RelayMessages::UnreportedAdmissions &unreported = *greeting.add_unreported();
    unreported.set_vm("vm-1");
    unreported.set_from_age_milliseconds(400);
    RelayMessages::TeamAdmissions &admissions = *unreported.add_teams();
    admissions.set_team("red");
    admissions.add_ages_milliseconds(50);
    admissions.add_counts(1);
    fixture.hub->connect(greeting);
    const std::shared_ptr<RelaySubscriber> next = fixture.connect("vm-3");
    const RelayMessages::Update message = fixture.nextMessage(next->buffer);
    CATCH_REQUIRE(message.admissions().teams_size() == 1);
    CATCH_CHECK(message.admissions().teams(0).counts(0) == 1);
}

// Guards against VMs that forget admissions which only a cut-off relay has, or keep all of them as unreported.
CATCH_TEST_CASE("A relay tells a VM up to which message a majority of the relays has its admissions", "[relay][fleet-limit]")
{
    HubFixture fixture;
    RelayMessages::Update first;
    first.set_sequence(7);
    first.add_teams()->set_team("red");
    first.mutable_teams(0)->set_admitted(1);
    fixture.hub->receive(*fixture.first, first);
    const auto replicated = [&fixture] {
        RelayMessages::Update message = fixture.nextMessage(fixture.first->buffer);
        fixture.hub->addStatus(*fixture.first, message);
        return message.replicated();
    };
    CATCH_CHECK(replicated() == 0);
    const std::uint64_t sequence = fixture.nextMessage(fixture.peers[0]->buffer).sequence();
    CATCH_CHECK(replicated() == 0);
    RelayMessages::Update confirmation;
    confirmation.set_confirmed(sequence);
    fixture.hub->receiveFromPeer(*fixture.peers[0], confirmation);
    CATCH_CHECK(replicated() == 8);
    CATCH_CHECK(replicated() == 0);
}

// Guards against a time without a value, since another relay has confirmed messages before any VM has reported.
CATCH_TEST_CASE("A relay tells another one no more than a window, whatever that has confirmed", "[relay][fleet-limit]")
{
    HubFixture fixture;
    RelayMessages::Update confirmation;
    // A message that was sent before the reports of the fixture's VMs.
    confirmation.set_confirmed(1);
    fixture.hub->receiveFromPeer(*fixture.peers[0], confirmation);
    const RelayMessages::Update greeting = fixture.hub->peerGreeting(*fixture.peers[0]);
    // One entry for the relay itself, and one for each of its VMs.
    CATCH_REQUIRE(greeting.unreported_size() == 3);
    for (const RelayMessages::UnreportedAdmissions &unreported : greeting.unreported()) {
        CATCH_CHECK(unreported.from_age_milliseconds() <= 5000);
    }
}

// Guards against a busy relay whose logs show no more than a day's mean of its load.
CATCH_TEST_CASE("A relay counts the messages and arrivals since it was last asked", "[relay]")
{
    HubFixture fixture;
    fixture.hub->takeActivity();
    fixture.connect("vm-3");
    fixture.hub->receive(*fixture.first, HubFixture::outcomesOf(registrationOf("i-1", 1, 1)));
    RelayMessages::Update message = fixture.nextMessage(fixture.second->buffer);
    fixture.hub->addStatus(*fixture.second, message);
    const RelayHub::Activity activity = fixture.hub->takeActivity();
    CATCH_CHECK(activity.vmsConnected == 1);
    // The greeting is a message, too.
    CATCH_CHECK(activity.messagesReceived == 2);
    CATCH_CHECK(activity.messagesSent == 1);
    CATCH_CHECK(fixture.hub->takeActivity().messagesReceived == 0);
}

// Guards against VMs that forward to one that has ended or is partitioned, and against one that is forgotten because it moved to another relay.
CATCH_TEST_CASE("Relays report to VMs which other VMs accept forwarded requests", "[relay][forwarding]")
{
    HubFixture fixture;
    const std::shared_ptr<RelaySubscriber> relay = fixture.connect("relay-2", "10.0.0.2:7000");
    RelayMessages::Update remote;
    remote.add_vms()->set_vm("vm-9");
    remote.mutable_vms(0)->set_present(true);
    remote.mutable_vms(0)->set_forwarding_host("10.0.1.9");
    fixture.hub->receive(*relay, remote);
    CATCH_CHECK(fixture.nextMessage(fixture.first->buffer).vms(0).forwarding_host() == "10.0.1.9");

    // A VM that becomes partitioned is reported to the other VMs and relays.
    fixture.nextMessage(fixture.second->buffer);
    fixture.nextMessage(fixture.peers[0]->buffer);
    RelayMessages::Update partitioned;
    partitioned.add_vms()->set_partitioned_from_instances(true);
    fixture.hub->receive(*fixture.first, partitioned);
    for (UpdateBuffer *buffer : {&fixture.second->buffer, &fixture.peers[0]->buffer}) {
        const RelayMessages::Update message = fixture.nextMessage(*buffer);
        CATCH_REQUIRE(message.vms_size() == 1);
        CATCH_CHECK(message.vms(0).vm() == "vm-1");
        CATCH_CHECK(message.vms(0).partitioned_from_instances());
    }

    // A VM that connects gets all of them.
    const std::shared_ptr<RelaySubscriber> third = fixture.connect("vm-3");
    const RelayMessages::Update initial = fixture.nextMessage(third->buffer);
    CATCH_CHECK(initial.all_vms());
    CATCH_CHECK(initial.vms_size() == 4);

    // It moved to this relay before the other one reported its end.
    const std::shared_ptr<RelaySubscriber> moved = fixture.connect("vm-9");
    fixture.nextMessage(fixture.second->buffer);
    remote.mutable_vms(0)->set_present(false);
    fixture.hub->receive(*relay, remote);
    CATCH_CHECK(fixture.nextMessage(fixture.second->buffer).vms_size() == 0);
    fixture.hub->disconnect(moved);
    const RelayMessages::Update ended = fixture.nextMessage(fixture.second->buffer);
    CATCH_REQUIRE(ended.vms_size() == 1);
    CATCH_CHECK(!ended.vms(0).present());
}
