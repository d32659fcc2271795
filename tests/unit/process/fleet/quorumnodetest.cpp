#include "process/fleet/quorumnode.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Hyssophall;

namespace {

class SingleMember : public MemberView
{
public:
    std::vector<std::string> liveMembers() const override
    {
        return {"a"};
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

} // namespace

// Guards against a periodic task that start() doesn't run, and against a thread that stop() doesn't end.
CATCH_TEST_CASE("A fleet of one VM gets its lease, tokens and claims with the threads running, and stop() ends the threads and releases the lease",
    "[lease][claim][fleet-limit]")
{
    std::vector<CatalogueMessages::Member> members(1);
    members[0].set_id("a");
    members[0].set_admitted_incarnation(7);
    const std::shared_ptr<const Roster> roster = std::make_shared<const Roster>(1, members);
    FleetContext context;
    context.self = "a";
    context.incarnation = 7;
    context.clock = [] { return std::chrono::steady_clock::now(); };
    context.random = [] { return 4; };
    context.roster = [roster] { return roster; };
    context.catalogueVersion = [] { return 1; };
    const SingleMember view;
    QuorumNode node(context, {}, view, [](const std::string &) { return TeamLimit{1000, 100}; });
    FleetHandlers handlers;
    node.setHandlers(handlers);
    node.start();
    const SteadyTime deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!node.servingLease().isHeld() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::yield();
    }
    CATCH_REQUIRE(node.servingLease().isHeld());
    RateDecision decision;
    while (decision.kind != RateDecision::Kind::Granted && std::chrono::steady_clock::now() < deadline) {
        decision = node.rateLimiter().acquire("red", deadline);
    }
    CATCH_REQUIRE(decision.kind == RateDecision::Kind::Granted);
    const ClaimResult claimed = node.claimCoordinator().claim("red", "key", 1, deadline);
    CATCH_REQUIRE(claimed.kind == ClaimResult::Kind::Granted);
    node.claimCoordinator().release("red", "key", claimed.attempt);
    CATCH_REQUIRE(node.claimCoordinator().claim("red", "key", 2, deadline).kind == ClaimResult::Kind::Granted);
    node.stop();
    CATCH_REQUIRE_FALSE(node.servingLease().isHeld());
}
