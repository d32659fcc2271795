#include "process/fleet/registrar.h"
#include "version/committee.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

/// A registrar with a record store. The test sets its clock, its live members and whether forwarded calls succeed.
struct RegistrarFixture {
    SteadyTime now = SteadyTime(1h);
    std::vector<std::string> live = {"vm-1"};
    std::size_t rosterSize = 1;
    bool forwardSucceeds = true;
    std::vector<std::string> forwardedTo;
    RecordStore records{[this] { return this->now; }};
    Registrar registrar{"vm-1", this->records, this->hooks()};

    Registrar::Hooks hooks()
    {
        Registrar::Hooks hooks;
        hooks.clock = [this] { return this->now; };
        hooks.publish = [this](const FleetMessages::Record &record) { this->records.merge(record); };
        hooks.liveMembers = [this] { return this->live; };
        hooks.rosterSize = [this] { return this->rosterSize; };
        hooks.forward = [this](const std::string &member, const FleetMessages::AnnounceRequest &, const Registrar::ForwardReplyHandler &onReply) {
            this->forwardedTo.push_back(member);
            onReply(this->forwardSucceeds ? std::optional<FleetMessages::AnnounceReply>(FleetMessages::AnnounceReply()) : std::nullopt);
        };
        return hooks;
    }

    bool announce(const std::string &id, FleetMessages::InstanceState state, std::uint64_t incarnation = 5)
    {
        FleetMessages::AnnounceRequest request;
        request.mutable_instance()->set_id(id);
        request.mutable_instance()->set_service("credits");
        request.mutable_instance()->set_host("10.0.0.1");
        request.mutable_instance()->set_port(80);
        request.mutable_instance()->set_state(state);
        request.mutable_instance()->set_incarnation(incarnation);
        bool accepted = false;
        this->registrar.announce(request, [&accepted](const FleetMessages::AnnounceReply &reply) { accepted = reply.accepted(); });
        return accepted;
    }

    void advance(std::chrono::milliseconds duration)
    {
        for (const SteadyTime end = this->now + duration; this->now < end; this->now += 250ms) {
            this->registrar.tick();
        }
    }

    FleetMessages::Instance known(const std::string &id)
    {
        return this->records.findInstance({"credits", id}).value_or(FleetMessages::Instance());
    }
};

constexpr FleetMessages::InstanceState ready = FleetMessages::INSTANCE_STATE_READY;
constexpr FleetMessages::InstanceState leaving = FleetMessages::INSTANCE_STATE_LEAVING;
constexpr FleetMessages::InstanceState expired = FleetMessages::INSTANCE_STATE_EXPIRED;

} // namespace

// Guards against lease renewals that become records, which would be sent to the whole fleet, and against a delayed announcement
// that makes a leaving instance ready again.
CATCH_TEST_CASE("A registrar numbers transitions only and keeps leaving instances leaving", "[fleet][registrar][leaving-upstream]")
{
    RegistrarFixture fixture;
    CATCH_REQUIRE(fixture.announce("a", FleetMessages::INSTANCE_STATE_STARTING));
    CATCH_REQUIRE(fixture.announce("a", ready));
    CATCH_REQUIRE(fixture.announce("a", ready));
    CATCH_REQUIRE(fixture.known("a").sequence() == 2);
    CATCH_REQUIRE(fixture.announce("a", leaving));
    CATCH_REQUIRE_FALSE(fixture.announce("a", ready));
    CATCH_REQUIRE_FALSE(fixture.announce("a", ready, 4));
    CATCH_REQUIRE(fixture.known("a").state() == leaving);
    CATCH_REQUIRE(fixture.announce("a", ready, 6));
    CATCH_REQUIRE(fixture.known("a").state() == ready);
    fixture.advance(10s);
    CATCH_REQUIRE(fixture.known("a").state() == ready);
    fixture.advance(6s);
    CATCH_REQUIRE(fixture.known("a").state() == expired);
    CATCH_REQUIRE(fixture.announce("a", ready, 6));
    CATCH_REQUIRE(fixture.known("a").sequence() == 3);
}

// Guards against a registrar that expires running instances because their renewals didn't reach it: it sees less than half of
// the roster, was suspended, or has just become responsible for the instances.
CATCH_TEST_CASE("A registrar that may have missed renewals expires nothing", "[fleet][registrar]")
{
    RegistrarFixture fixture;
    fixture.announce("a", ready);
    fixture.rosterSize = 3;
    fixture.advance(60s);
    CATCH_REQUIRE(fixture.known("a").state() == ready);
    fixture.rosterSize = 1;
    fixture.advance(9s);
    CATCH_REQUIRE(fixture.known("a").state() == ready);
    fixture.now += 60s;
    fixture.advance(9s);
    CATCH_REQUIRE(fixture.known("a").state() == ready);
    fixture.live = {"vm-2"};
    fixture.advance(9s);
    fixture.live = {"vm-1"};
    fixture.advance(9s);
    CATCH_REQUIRE(fixture.known("a").state() == ready);
    fixture.advance(2s);
    CATCH_REQUIRE(fixture.known("a").state() == expired);
}

// Guards against a transition that is delayed until the registrar's failure is detected, and against sequence numbers that start
// again at one when another VM applies the transition.
CATCH_TEST_CASE("A transition is taken in place of a registrar that doesn't answer", "[fleet][registrar][leaving-upstream]")
{
    RegistrarFixture fixture;
    FleetMessages::Record record;
    record.mutable_instance()->set_id("a");
    record.mutable_instance()->set_service("credits");
    record.mutable_instance()->set_incarnation(5);
    record.mutable_instance()->set_sequence(41);
    record.mutable_instance()->set_state(ready);
    fixture.records.merge(record);
    fixture.live = {"vm-2"};
    CATCH_REQUIRE_FALSE(fixture.announce("a", leaving));
    CATCH_REQUIRE(fixture.forwardedTo == std::vector<std::string>{"vm-2"});
    CATCH_REQUIRE(fixture.known("a").sequence() == 41);
    fixture.forwardSucceeds = false;
    CATCH_REQUIRE(fixture.announce("a", leaving));
    CATCH_REQUIRE(fixture.known("a").sequence() == 42);
}

// Guards against registrars that differ between VMs because the incremental update of the assignment, after several changes of
// the members, gives other winners than rendezvous hashing of each name over the present members.
CATCH_TEST_CASE("Incrementally updated rendezvous winners equal those computed anew", "[fleet][registrar]")
{
    std::mt19937_64 generator(31);
    RendezvousAssignment assignment;
    for (int name = 0; name < 50; ++name) {
        assignment.add("name-" + std::to_string(name));
    }
    for (int round = 0; round < 300; ++round) {
        std::vector<std::string> members;
        for (char letter = 'a'; letter <= 'h'; ++letter) {
            if (generator() % 3 != 0) {
                members.emplace_back(1, letter);
            }
        }
        assignment.setMembers(members);
        std::size_t total = 0;
        for (const std::string &member : members) {
            for (const std::string &name : assignment.namesAssignedTo(member)) {
                CATCH_REQUIRE(rendezvousWinner(name, members) == member);
                ++total;
            }
        }
        CATCH_REQUIRE(total == (members.empty() ? 0 : 50));
    }
}
