#include "process/fleet/registrar.h"
#include "version/committee.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

/// A registrar whose live members, clock and peers are set by the test.
struct Bench {
    SteadyTime now = SteadyTime(1h);
    std::vector<std::string> live = {"vm-1"};
    std::size_t rosterSize = 1;
    bool forwardWorks = true;
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
        hooks.forward = [this](const std::string &member, const FleetMessages::AnnounceRequest &, const Registrar::ForwardAnswer &answer) {
            this->forwardedTo.push_back(member);
            answer(this->forwardWorks ? std::optional<FleetMessages::AnnounceReply>(FleetMessages::AnnounceReply()) : std::nullopt);
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

    void pass(std::chrono::milliseconds duration)
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

// Guards against renewals that cause fleet-wide traffic, and against a late announcement that takes a leaving one back.
CATCH_TEST_CASE("A registrar numbers transitions only and keeps leaving instances leaving", "[fleet][registrar][leaving-upstream]")
{
    Bench bench;
    CATCH_REQUIRE(bench.announce("a", FleetMessages::INSTANCE_STATE_STARTING));
    CATCH_REQUIRE(bench.announce("a", ready));
    CATCH_REQUIRE(bench.announce("a", ready));
    CATCH_REQUIRE(bench.known("a").sequence() == 2);
    CATCH_REQUIRE(bench.announce("a", leaving));
    CATCH_REQUIRE_FALSE(bench.announce("a", ready));
    CATCH_REQUIRE_FALSE(bench.announce("a", ready, 4));
    CATCH_REQUIRE(bench.known("a").state() == leaving);
    CATCH_REQUIRE(bench.announce("a", ready, 6));
    CATCH_REQUIRE(bench.known("a").state() == ready);
    bench.pass(10s);
    CATCH_REQUIRE(bench.known("a").state() == ready);
    bench.pass(6s);
    CATCH_REQUIRE(bench.known("a").state() == expired);
    CATCH_REQUIRE(bench.announce("a", ready, 6));
    CATCH_REQUIRE(bench.known("a").sequence() == 3);
}

// Guards against a registrar that expires what it can't hear: without half of the roster, after a stall, or just taken over.
CATCH_TEST_CASE("A registrar that can't trust its view expires nothing", "[fleet][registrar]")
{
    Bench bench;
    bench.announce("a", ready);
    bench.rosterSize = 3;
    bench.pass(60s);
    CATCH_REQUIRE(bench.known("a").state() == ready);
    bench.rosterSize = 1;
    bench.pass(9s);
    CATCH_REQUIRE(bench.known("a").state() == ready);
    bench.now += 60s;
    bench.pass(9s);
    CATCH_REQUIRE(bench.known("a").state() == ready);
    bench.live = {"vm-2"};
    bench.pass(9s);
    bench.live = {"vm-1"};
    bench.pass(9s);
    CATCH_REQUIRE(bench.known("a").state() == ready);
    bench.pass(2s);
    CATCH_REQUIRE(bench.known("a").state() == expired);
}

// Guards against a transition that waits until a lost registrar is noticed, and against numbers that start again.
CATCH_TEST_CASE("A transition is taken in place of a registrar that doesn't answer", "[fleet][registrar][leaving-upstream]")
{
    Bench bench;
    FleetMessages::Record record;
    record.mutable_instance()->set_id("a");
    record.mutable_instance()->set_service("credits");
    record.mutable_instance()->set_incarnation(5);
    record.mutable_instance()->set_sequence(41);
    record.mutable_instance()->set_state(ready);
    bench.records.merge(record);
    bench.live = {"vm-2"};
    CATCH_REQUIRE_FALSE(bench.announce("a", leaving));
    CATCH_REQUIRE(bench.forwardedTo == std::vector<std::string>{"vm-2"});
    CATCH_REQUIRE(bench.known("a").sequence() == 41);
    bench.forwardWorks = false;
    CATCH_REQUIRE(bench.announce("a", leaving));
    CATCH_REQUIRE(bench.known("a").sequence() == 42);
}

// Compares with a contest for each name; guards against winners that differ between VMs.
CATCH_TEST_CASE("Kept rendezvous winners equal those of contests anew", "[fleet][registrar]")
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
