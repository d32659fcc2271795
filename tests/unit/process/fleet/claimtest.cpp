#include "simulatedfleet.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Hyssophall;
using namespace Hyssophall::Tests;

namespace {

/// Runs requests with an idempotency key as an entry VM does, and counts how often each key ran.
class Requests
{
public:
    explicit Requests(SimulatedFleet &fleet)
        : fleet(fleet)
    {
    }

    /// A request on a VM whose upstream takes @p upstreamTime. The result is stored when the request ends.
    std::shared_ptr<std::optional<ClaimResult>> start(
        std::size_t vm, const std::string &key, std::uint64_t fingerprint = 1, Milliseconds upstreamTime = Milliseconds(10))
    {
        const std::shared_ptr<std::optional<ClaimResult>> result = std::make_shared<std::optional<ClaimResult>>();
        if (!this->fleet.isRunning(vm)) {
            return result;
        }
        const std::uint64_t incarnation = this->fleet.incarnationOf(vm);
        // A VM that dies in a call loses the request; its node is kept for the stack of the call.
        const std::shared_ptr<QuorumNode> node = this->fleet.sharedNode(vm);
        this->fleet.startTask([this, vm, key, fingerprint, upstreamTime, incarnation, node, result] {
            const auto lost = [this, vm, incarnation] { return !this->fleet.isAlive(vm) || this->fleet.incarnationOf(vm) != incarnation; };
            const ClaimResult claimed = node->claimCoordinator().claim("red", key, fingerprint, this->fleet.localTime(vm) + Milliseconds(1500));
            while (this->fleet.isAlive(vm) && !this->fleet.isRunning(vm)) {
                CooperativeTask::pauseCurrent();
            }
            if (lost()) {
                return;
            }
            if (claimed.kind == ClaimResult::Kind::Granted) {
                ++this->runs[key];
                const std::chrono::nanoseconds end = this->fleet.elapsed() + upstreamTime;
                while (this->fleet.elapsed() < end) {
                    CooperativeTask::pauseCurrent();
                }
                if (lost()) {
                    return;
                }
                FleetMessages::ClaimOutcome outcome;
                outcome.set_status(201);
                outcome.set_body("order of " + key);
                node->claimCoordinator().finish("red", key, claimed.attempt, outcome, this->fleet.localTime(vm) + Milliseconds(1000));
            }
            *result = claimed;
        });
        return result;
    }

    std::map<std::string, int> runs;

private:
    SimulatedFleet &fleet;
};

FleetMessages::ClaimRequest requestOf(const std::string &key, const std::string &attempt)
{
    FleetMessages::ClaimRequest request;
    request.mutable_record()->set_key_hash(claimKeyHash("red", key));
    request.mutable_record()->set_attempt(attempt);
    request.set_roster_version(1);
    return request;
}

constexpr SteadyTime start{std::chrono::hours(1)};

} // namespace

CATCH_TEST_CASE("A key runs at most once with racing VMs, lost VMs, cuts and restarted voters", "[claim][at-most-once]")
{
    int ran = 0;
    int keys = 0;
    int replayed = 0;
    for (const std::uint64_t seed : {41, 42, 43, 44, 45, 46, 47, 48}) {
        SimulatedFleet fleet(seed % 2 == 0 ? 4 : 10, 3, seed);
        Requests requests(fleet);
        fleet.runFor(Milliseconds(300));
        for (int number = 0; number < 40; ++number) {
            const std::string key = std::to_string(number);
            // Resends reach any VM at any moment, also during the first run.
            for (int resend = 0; resend < 5; ++resend) {
                const std::size_t vm = fleet.random()() % fleet.size();
                fleet.at(Milliseconds(resend < 2 ? 1 : fleet.random()() % 4000), [&requests, vm, key] { requests.start(vm, key); });
            }
            const std::size_t first = fleet.random()() % fleet.size();
            const std::size_t second = fleet.random()() % fleet.size();
            if (number % 5 == 1) {
                // The second loss comes when the first VM has just come back.
                fleet.kill(first);
                fleet.at(Milliseconds(400), [&fleet, first] { fleet.restart(first); });
                fleet.at(Milliseconds(500 + fleet.random()() % 300), [&fleet, second] { fleet.restart(second); });
            } else if (number % 5 == 3) {
                fleet.cut(first, second, true);
                fleet.isolate((first + 1) % fleet.size(), true);
                fleet.at(Milliseconds(700), [&fleet, first, second] {
                    fleet.cut(first, second, false);
                    fleet.isolate((first + 1) % fleet.size(), false);
                });
            } else if (number % 5 == 4) {
                fleet.stopClockUse(first, true);
                fleet.at(Milliseconds(900), [&fleet, first] { fleet.stopClockUse(first, false); });
            }
            fleet.runFor(Milliseconds(300));
        }
        fleet.runFor(Milliseconds(6000));
        const std::shared_ptr<std::optional<ClaimResult>> last = requests.start(0, "0");
        fleet.runFor(Milliseconds(2000));
        replayed += last->has_value() && (*last)->kind == ClaimResult::Kind::Finished ? 1 : 0;
        for (const std::pair<const std::string, int> &run : requests.runs) {
            CATCH_INFO("seed " << seed << " key " << run.first);
            CATCH_REQUIRE(run.second == 1);
            ++ran;
        }
        keys += 40;
    }
    // Most keys ran and are replayed, so the test isn't passed by refusals.
    CATCH_REQUIRE(ran > keys * 3 / 4);
    CATCH_REQUIRE(replayed >= 4);
}

CATCH_TEST_CASE("A recorded outcome is replayed on every VM, another request with the key is a mismatch", "[claim][at-most-once]")
{
    SimulatedFleet fleet(9, 3, 51);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    requests.start(0, "k");
    fleet.runFor(Milliseconds(200));
    // With all members of one failure domain lost, a quorum is left.
    fleet.kill(0);
    fleet.kill(3);
    fleet.kill(6);
    for (const std::size_t vm : {1, 2, 4, 5, 7, 8}) {
        const std::shared_ptr<std::optional<ClaimResult>> same = requests.start(vm, "k");
        const std::shared_ptr<std::optional<ClaimResult>> other = requests.start(vm, "k", 2);
        const std::shared_ptr<std::optional<ClaimResult>> fresh = requests.start(vm, "fresh " + std::to_string(vm));
        fleet.runFor(Milliseconds(2000));
        CATCH_REQUIRE((*same)->kind == ClaimResult::Kind::Finished);
        CATCH_REQUIRE((*same)->outcome->body() == "order of k");
        CATCH_REQUIRE((*other)->kind == ClaimResult::Kind::FingerprintMismatch);
        CATCH_REQUIRE((*fresh)->kind == ClaimResult::Kind::Granted);
    }
    CATCH_REQUIRE(requests.runs["k"] == 1);
}

CATCH_TEST_CASE("A resend during the first run is told that it is in progress, also after the VM that runs it is lost", "[claim][at-most-once]")
{
    SimulatedFleet fleet(9, 3, 52);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    requests.start(0, "k", 1, Milliseconds(500));
    fleet.runFor(Milliseconds(100));
    const std::shared_ptr<std::optional<ClaimResult>> during = requests.start(1, "k");
    fleet.runFor(Milliseconds(300));
    fleet.kill(0);
    const std::shared_ptr<std::optional<ClaimResult>> after = requests.start(2, "k");
    fleet.runFor(Milliseconds(4000));
    CATCH_REQUIRE((*during)->kind == ClaimResult::Kind::InProgress);
    CATCH_REQUIRE((*after)->kind == ClaimResult::Kind::InProgress);
    CATCH_REQUIRE(requests.runs["k"] == 1);
}

CATCH_TEST_CASE("A claim of a minority whose holder gave up doesn't block the key", "[claim][at-most-once]")
{
    SimulatedFleet fleet(9, 3, 53);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    // The claimer reaches four others and hears no answers from them.
    for (std::size_t other = 1; other < 9; ++other) {
        fleet.cut(other, 0, true);
        fleet.cut(0, other, other > 4);
    }
    const std::shared_ptr<std::optional<ClaimResult>> refused = requests.start(0, "k");
    // The first releases are lost, too.
    fleet.at(Milliseconds(100), [&fleet] { fleet.isolate(0, true); });
    fleet.runFor(Milliseconds(3000));
    CATCH_REQUIRE((*refused)->kind == ClaimResult::Kind::Unavailable);
    fleet.isolate(0, false);
    fleet.runFor(Milliseconds(2500));
    const std::shared_ptr<std::optional<ClaimResult>> granted = requests.start(5, "k");
    fleet.runFor(Milliseconds(1000));
    CATCH_REQUIRE((*granted)->kind == ClaimResult::Kind::Granted);
    CATCH_REQUIRE(requests.runs["k"] == 1);
}

CATCH_TEST_CASE("A restarted member grants nothing until it has the claims of the others, and a fleet restarted at once grants none", "[claim][at-most-once]")
{
    QuorumNode::Options options;
    options.claimStore.retention = Milliseconds(15000);
    SimulatedFleet fleet(9, 3, 54, options);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    requests.start(0, "k");
    fleet.runFor(Milliseconds(300));
    fleet.restart(1);
    CATCH_REQUIRE(fleet.node(1).recoveringClaimGroups() == 0);
    fleet.runFor(Milliseconds(50));
    CATCH_REQUIRE(fleet.node(1).recoveringClaimGroups() == claimGroupCount);
    fleet.runFor(Milliseconds(2000));
    CATCH_REQUIRE(fleet.node(1).recoveringClaimGroups() == 0);
    for (std::size_t vm = 0; vm < 9; ++vm) {
        fleet.restart(vm);
    }
    fleet.runFor(Milliseconds(5000));
    const std::shared_ptr<std::optional<ClaimResult>> refused = requests.start(3, "k");
    fleet.runFor(Milliseconds(3000));
    CATCH_REQUIRE((*refused)->kind == ClaimResult::Kind::Unavailable);
    // After the retention, nothing that was forgotten counts.
    fleet.runFor(Milliseconds(15000));
    const std::shared_ptr<std::optional<ClaimResult>> granted = requests.start(3, "k");
    fleet.runFor(Milliseconds(1000));
    CATCH_REQUIRE((*granted)->kind == ClaimResult::Kind::Granted);
}

CATCH_TEST_CASE("A key doesn't run again when its VM is lost and the only other voter restarts", "[claim][at-most-once]")
{
    SimulatedFleet fleet(3, 3, 55);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    // A quorum of VM 0 and VM 1 grants.
    fleet.cut(0, 2, true);
    requests.start(0, "k");
    fleet.runFor(Milliseconds(200));
    fleet.kill(0);
    fleet.restart(1);
    const std::shared_ptr<std::optional<ClaimResult>> resent = requests.start(2, "k");
    fleet.runFor(Milliseconds(3000));
    CATCH_REQUIRE((*resent)->kind == ClaimResult::Kind::Unavailable);
    CATCH_REQUIRE(requests.runs["k"] == 1);
}

CATCH_TEST_CASE("A full store refuses new claims and forgets none", "[claim][at-most-once]")
{
    ClaimStore::Options options;
    options.maximumRecords = 2;
    ClaimStore store(options, start);
    store.setRecovering({});
    CATCH_REQUIRE(store.claim(requestOf("1", "a"), 1, start).result() == FleetMessages::ClaimReply::RESULT_GRANTED);
    CATCH_REQUIRE(store.claim(requestOf("2", "b"), 1, start).result() == FleetMessages::ClaimReply::RESULT_GRANTED);
    CATCH_REQUIRE(store.claim(requestOf("3", "c"), 1, start).result() == FleetMessages::ClaimReply::RESULT_FULL);
    CATCH_REQUIRE(store.claim(requestOf("1", "d"), 1, start + Milliseconds(599999)).result() == FleetMessages::ClaimReply::RESULT_HELD);
    CATCH_REQUIRE(store.claim(requestOf("3", "c"), 1, start + Milliseconds(600000)).result() == FleetMessages::ClaimReply::RESULT_GRANTED);
    CATCH_REQUIRE(store.claim(requestOf("4", "e"), 4, start).result() == FleetMessages::ClaimReply::RESULT_ROSTER_MISMATCH);
}

CATCH_TEST_CASE("A released attempt doesn't come back by a delayed claim or a copy", "[claim][at-most-once]")
{
    ClaimStore store({}, start);
    store.setRecovering({});
    FleetMessages::FinishClaimRequest release;
    release.set_key_hash(claimKeyHash("red", "1"));
    release.set_attempt("a");
    store.finish(release, start);
    CATCH_REQUIRE(store.claim(requestOf("1", "a"), 1, start).result() != FleetMessages::ClaimReply::RESULT_GRANTED);
    FleetMessages::RecoverClaimsReply copies;
    *copies.add_records() = requestOf("1", "a").record();
    store.merge(copies, start);
    CATCH_REQUIRE(store.size() == 0);
}

CATCH_TEST_CASE("Paging hands over every record once", "[claim][at-most-once]")
{
    ClaimStore source({}, start);
    ClaimStore copy({}, start);
    source.setRecovering({});
    for (int number = 0; number < 1000; ++number) {
        source.claim(requestOf(std::to_string(number), "a"), 1, start);
    }
    FleetMessages::RecoverClaimsRequest request;
    int pages = 0;
    for (bool more = true; more; ++pages) {
        const FleetMessages::RecoverClaimsReply page = source.page(
            request, [](std::uint32_t) { return true; }, start);
        copy.merge(page, start);
        request.set_after_key_hash(page.records(page.records_size() - 1).key_hash());
        more = page.more();
    }
    CATCH_REQUIRE(pages == 5);
    CATCH_REQUIRE(copy.size() == 1000);
    CATCH_REQUIRE(claimKeyHash("ab", "c") != claimKeyHash("a", "bc"));
}
