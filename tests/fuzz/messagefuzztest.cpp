#include "fuzz/mutator.h"
#include "process/cataloguestore.h"
#include "process/fleet/quorumnode.h"
#include "process/health/ejectionarbiter.h"
#include "support/fakedirectory.h"
#include "unit/process/fleet/simulatednode.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace std::chrono_literals;
using HyssophallTest::Mutator;
using TestSupport::FakeDirectory;

namespace {

constexpr int rounds = 2000;

CatalogueMessages::Snapshot snapshotOf(const std::vector<std::string> &ids)
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_version(1);
    snapshot.set_roster_version(1);
    for (const std::string &id : ids) {
        CatalogueMessages::Member &member = *snapshot.add_members();
        member.set_id(id);
        member.set_fleet_address(id);
    }
    return snapshot;
}

template<typename Message>
Message filled(Mutator &mutator)
{
    Message message;
    mutator.fill(message);
    // What arrives was parsed.
    Message received;
    received.ParsePartialFromString(message.SerializePartialAsString());
    return received;
}

class NoMembers : public MemberView
{
public:
    std::vector<std::string> liveMembers() const override
    {
        return {"a", "b"};
    }
    std::string addressOf(const std::string &) const override
    {
        return {};
    }
    std::vector<MemberStatus> members() const override
    {
        return {};
    }
};

FleetMessages::Record instanceRecord(const std::string &id, std::uint32_t port)
{
    FleetMessages::Record record;
    FleetMessages::Instance &instance = *record.mutable_instance();
    instance.set_id(id);
    instance.set_service("orders");
    instance.set_host("127.0.0.1");
    instance.set_port(port);
    instance.set_incarnation(1);
    instance.set_state(FleetMessages::INSTANCE_STATE_READY);
    return record;
}

} // namespace

// Guards against a peer whose requests and answers crash a VM, and against values that make a VM look dead for good.
CATCH_TEST_CASE("Gossip and announcements with hostile values change no more than soft state", "[fuzz][fleet][gossip]")
{
    Mutator mutator(6);
    SimulatedNetwork network(6);
    SimulatedNode node(network, "a", {"b"}, 77, snapshotOf({"a", "b"}));
    SimulatedNetwork::Endpoint hostile{"b", true, {}};
    hostile.handlers.exchange = [&mutator](const FleetMessages::ExchangeMessage &) { return filled<FleetMessages::ExchangeMessage>(mutator); };
    hostile.handlers.announce = [&mutator](const FleetMessages::AnnounceRequest &) { return filled<FleetMessages::AnnounceReply>(mutator); };
    hostile.handlers.fetchCatalogue = [](const FleetMessages::FetchCatalogueRequest &) { return FleetMessages::FetchCatalogueReply(); };
    network.endpoints = {{"a", &node}, {"b", &hostile}};
    for (int round = 0; round < rounds; ++round) {
        const FleetMessages::ExchangeMessage answer = node.handlers.exchange(filled<FleetMessages::ExchangeMessage>(mutator));
        CATCH_REQUIRE(answer.sender().heartbeat() < (1ULL << 60U));
        CATCH_REQUIRE(answer.sender().id() == "a");
        node.handlers.announce(filled<FleetMessages::AnnounceRequest>(mutator));
        node.handlers.fetchCatalogue(filled<FleetMessages::FetchCatalogueRequest>(mutator));
        node.core.gossipTick();
        node.core.registrarTick();
        network.run(50ms);
    }
    for (const KnownInstance &known : *node.core.records().instances("orders")) {
        CATCH_REQUIRE(known.instance.port() <= 65535);
        CATCH_REQUIRE_FALSE(known.instance.id().empty());
    }
    // The fleet goes on: a plain record is taken, and no ejection outlasts the longest one.
    CATCH_REQUIRE(node.core.publish(instanceRecord("plain", 80)));
    network.run(61s);
    for (const KnownInstance &known : *node.core.records().instances("orders")) {
        CATCH_REQUIRE_FALSE(known.ejected);
    }
}

// Guards against a fleet in which versions can't be mixed.
CATCH_TEST_CASE("Fields of a newer version are ignored", "[fuzz][fleet][gossip]")
{
    SimulatedNetwork network(7);
    SimulatedNode node(network, "a", {}, 77, snapshotOf({"a", "b"}));
    node.core.gossipTick();
    FleetMessages::ExchangeMessage message;
    message.mutable_sender()->set_id("b");
    message.mutable_sender()->set_incarnation(5);
    message.mutable_sender()->set_heartbeat(1);
    *message.add_records() = instanceRecord("o-1", 80);
    *message.add_records() = instanceRecord("o-2", 80);
    // A kind of record and a state that this version doesn't know.
    message.add_records()->GetReflection()->MutableUnknownFields(message.mutable_records(2))->AddLengthDelimited(900, "new kind");
    message.mutable_records(1)->mutable_instance()->set_state(static_cast<FleetMessages::InstanceState>(99));
    message.GetReflection()->MutableUnknownFields(&message)->AddVarint(901, 1);
    message.mutable_records(0)->mutable_instance()->GetReflection()->MutableUnknownFields(message.mutable_records(0)->mutable_instance())->AddFixed64(902, 1);
    FleetMessages::ExchangeMessage received;
    CATCH_REQUIRE(received.ParseFromString(message.SerializeAsString()));
    CATCH_REQUIRE(node.handlers.exchange(received).sender().id() == "a");
    CATCH_REQUIRE(node.memberIdsWith(Liveness::Alive).size() == 2);
    const std::shared_ptr<const InstanceDirectory::Instances> known = node.core.records().instances("orders");
    CATCH_REQUIRE(known->size() == 2);
    CATCH_REQUIRE(known->front().instance.state() == FleetMessages::INSTANCE_STATE_READY);
    CATCH_REQUIRE(known->back().instance.state() != FleetMessages::INSTANCE_STATE_READY);
}

// Guards against voters, claims and token owners that a peer can crash or make grant more than there is.
CATCH_TEST_CASE("Leases, claims and loans asked for with hostile values are answered in bounds", "[fuzz][lease][claim][fleet-limit]")
{
    Mutator mutator(8);
    SteadyTime now(1h);
    const CatalogueMessages::Snapshot snapshot = snapshotOf({"a", "b"});
    std::vector<CatalogueMessages::Member> members(snapshot.members().begin(), snapshot.members().end());
    members[0].set_admitted_incarnation(77);
    const std::shared_ptr<const Roster> roster = std::make_shared<const Roster>(1, members);
    FleetContext context;
    context.self = "a";
    context.incarnation = 77;
    context.clock = [&now] { return now; };
    context.random = [] { return 4; };
    context.roster = [roster] { return roster; };
    context.catalogueVersion = [] { return 1; };
    const NoMembers view;
    QuorumNode node(context, {}, view, [](const std::string &) { return TeamLimit{1000, 100}; });
    FleetHandlers handlers;
    node.setHandlers(handlers);
    for (int round = 0; round < rounds; ++round) {
        now += 1ms;
        FleetMessages::GrantLeasesRequest lease = filled<FleetMessages::GrantLeasesRequest>(mutator);
        lease.set_roster_version(round % 3);
        handlers.grantLeases(lease);
        handlers.claim(filled<FleetMessages::ClaimRequest>(mutator));
        handlers.finishClaim(filled<FleetMessages::FinishClaimRequest>(mutator));
        handlers.recoverClaims(filled<FleetMessages::RecoverClaimsRequest>(mutator));
        handlers.borrowTokens(filled<FleetMessages::BorrowTokensRequest>(mutator));
    }
    TokenBucketOwner owner(
        {},
        [](const std::string &) {
            return TeamLimit{1000, 100};
        },
        [](std::uint32_t) { return std::optional<std::uint64_t>(1); });
    for (int round = 0; round < rounds; ++round) {
        const FleetMessages::BorrowTokensReply reply = owner.borrow(filled<FleetMessages::BorrowTokensRequest>(mutator), now);
        for (const FleetMessages::TokenLoan &loan : reply.loans()) {
            CATCH_REQUIRE((loan.lent() >= 0 && loan.lent() <= 100));
        }
    }
    const TeamTokens::Options tokenOptions;
    TeamTokens tokens(tokenOptions, now);
    for (int round = 0; round < rounds; ++round) {
        tokens.applyLoan(filled<FleetMessages::TokenLoan>(mutator), now, now);
    }
    CATCH_REQUIRE(tokens.nextRequestTime() <= now + tokenOptions.maximumRetryDelay);
}

// Guards against a peer's catalogue or reports that crash a VM.
CATCH_TEST_CASE("Catalogues and outcomes with hostile values are taken or refused", "[fuzz][config-in-force][ejection-floor]")
{
    Mutator mutator(9);
    for (int round = 0; round < rounds; ++round) {
        CatalogueStore store;
        CatalogueMessages::VersionedChange change = filled<CatalogueMessages::VersionedChange>(mutator);
        change.set_version(1);
        store.advance({change});
        store.replace(filled<CatalogueMessages::Snapshot>(mutator));
        store.advance({filled<CatalogueMessages::VersionedChange>(mutator)});
        CATCH_REQUIRE(store.current() != nullptr);
    }
    FakeDirectory directory;
    directory.add("orders", 5);
    SteadyTime now(1h);
    EjectionArbiter arbiter("orders", 1, now);
    for (int round = 0; round < rounds; ++round) {
        now += 250ms;
        const FleetMessages::ReportOutcomesRequest report = filled<FleetMessages::ReportOutcomesRequest>(mutator);
        arbiter.report(report.member(), {report.counts().begin(), report.counts().end()}, now);
        CATCH_REQUIRE(arbiter.decide(*directory.instances("orders"), CapacityFloor{500, 2}, now).size() <= 2);
    }
}
