#include "simulatedfleet.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Hyssophall;
using namespace Hyssophall::Tests;

namespace {

/// Runs requests with an idempotency key like an entry VM: claims the key, waits for the upstream and records the outcome. Counts the runs of each key.
class Requests
{
public:
    explicit Requests(SimulatedFleet &fleet)
        : fleet(fleet)
    {
    }

    /// Starts a request on a VM. Its upstream takes @p upstreamTime. The result is set when the request ends, and stays empty if its VM is lost.
    std::shared_ptr<std::optional<ClaimResult>> start(
        std::size_t vm, const std::string &key, std::uint64_t fingerprint = 1, Milliseconds upstreamTime = Milliseconds(10))
    {
        const std::shared_ptr<std::optional<ClaimResult>> result = std::make_shared<std::optional<ClaimResult>>();
        if (!this->fleet.isRunning(vm)) {
            return result;
        }
        const std::uint64_t incarnation = this->fleet.incarnationOf(vm);
        // A VM that is killed during a call loses the request. Its node is kept until the call returns, because the call runs in the node.
        const std::shared_ptr<QuorumNode> node = this->fleet.sharedNode(vm);
        this->fleet.startTask([this, vm, key, fingerprint, upstreamTime, incarnation, node, result] {
            const auto isVmLost = [this, vm, incarnation] { return !this->fleet.isAlive(vm) || this->fleet.incarnationOf(vm) != incarnation; };
            const ClaimResult claimed = node->claimCoordinator().claim("red", key, fingerprint, this->fleet.localTime(vm) + Milliseconds(1500));
            while (this->fleet.isAlive(vm) && !this->fleet.isRunning(vm)) {
                CooperativeTask::pauseCurrent();
            }
            if (isVmLost()) {
                return;
            }
            if (claimed.kind == ClaimResult::Kind::Granted) {
                ++this->runs[key];
                const std::chrono::nanoseconds end = this->fleet.elapsed() + upstreamTime;
                while (this->fleet.elapsed() < end) {
                    CooperativeTask::pauseCurrent();
                }
                if (isVmLost()) {
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

// Guards against a second run of a request when retries arrive at several VMs during faults. VMs are restarted, partitioned and suspended
// while the claims are decided.
CATCH_TEST_CASE("A key runs at most once with racing VMs, lost VMs, blocked links and restarted voters", "[claim][at-most-once]")
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
            // Retries reach any VM at any time, also during the first run.
            for (int resend = 0; resend < 5; ++resend) {
                const std::size_t vm = fleet.random()() % fleet.size();
                fleet.scheduleAfter(Milliseconds(resend < 2 ? 1 : fleet.random()() % 4000), [&requests, vm, key] { requests.start(vm, key); });
            }
            const std::size_t first = fleet.random()() % fleet.size();
            const std::size_t second = fleet.random()() % fleet.size();
            if (number % 5 == 1) {
                // The second VM is lost just after the first has restarted.
                fleet.kill(first);
                fleet.scheduleAfter(Milliseconds(400), [&fleet, first] { fleet.restart(first); });
                fleet.scheduleAfter(Milliseconds(500 + fleet.random()() % 300), [&fleet, second] { fleet.restart(second); });
            } else if (number % 5 == 3) {
                fleet.setLinkBlocked(first, second, true);
                fleet.isolate((first + 1) % fleet.size(), true);
                fleet.scheduleAfter(Milliseconds(700), [&fleet, first, second] {
                    fleet.setLinkBlocked(first, second, false);
                    fleet.isolate((first + 1) % fleet.size(), false);
                });
            } else if (number % 5 == 4) {
                fleet.setSuspended(first, true);
                fleet.scheduleAfter(Milliseconds(900), [&fleet, first] { fleet.setSuspended(first, false); });
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
    // Most keys must run and be replayed, so that a fleet that refuses all requests fails the test.
    CATCH_REQUIRE(ran > keys * 3 / 4);
    CATCH_REQUIRE(replayed >= 4);
}

// Guards against a retry that runs again or is refused on another VM, also when a whole failure domain is lost.
CATCH_TEST_CASE("A recorded outcome is replayed on every VM, and a different request with the key is a mismatch", "[claim][at-most-once]")
{
    SimulatedFleet fleet(9, 3, 51);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    requests.start(0, "k");
    fleet.runFor(Milliseconds(200));
    // All members of one failure domain are lost; the others are a quorum.
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

// The outcome isn't recorded yet, so the retry must neither run nor get a response, even when the VM that ran the request can't record one any more.
CATCH_TEST_CASE("A retry during the first run gets the result that it is in progress, also after the VM that runs it is lost", "[claim][at-most-once]")
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

// The claiming VM gets no quorum of replies and gives up. If its releases were lost for good, the members that granted the claim would block
// the key for the whole retention.
CATCH_TEST_CASE("An abandoned claim that only a minority granted doesn't block the key", "[claim][at-most-once]")
{
    SimulatedFleet fleet(9, 3, 53);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    // The claiming VM reaches four others, but their replies are lost.
    for (std::size_t other = 1; other < 9; ++other) {
        fleet.setLinkBlocked(other, 0, true);
        fleet.setLinkBlocked(0, other, other > 4);
    }
    const std::shared_ptr<std::optional<ClaimResult>> refused = requests.start(0, "k");
    // The first releases are lost, too, so they must be sent again.
    fleet.scheduleAfter(Milliseconds(100), [&fleet] { fleet.isolate(0, true); });
    fleet.runFor(Milliseconds(3000));
    CATCH_REQUIRE((*refused)->kind == ClaimResult::Kind::Unavailable);
    fleet.isolate(0, false);
    fleet.runFor(Milliseconds(2500));
    const std::shared_ptr<std::optional<ClaimResult>> granted = requests.start(5, "k");
    fleet.runFor(Milliseconds(1000));
    CATCH_REQUIRE((*granted)->kind == ClaimResult::Kind::Granted);
    CATCH_REQUIRE(requests.runs["k"] == 1);
}

// A restarted member has lost its claims. If it granted before it recovered them, a key could run twice. When all members restart at once,
// nobody has the claims, so none is granted until the retention has passed.
CATCH_TEST_CASE("A restarted member grants nothing until it has recovered the claims from the others, and a fleet restarted all at once grants none",
    "[claim][at-most-once]")
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
    // After the retention, the claims lost in the restart would have expired.
    fleet.runFor(Milliseconds(15000));
    const std::shared_ptr<std::optional<ClaimResult>> granted = requests.start(3, "k");
    fleet.runFor(Milliseconds(1000));
    CATCH_REQUIRE((*granted)->kind == ClaimResult::Kind::Granted);
}

// The only members that knew the claim are lost and restarted, so VM 2 and the restarted VM 1 would be a quorum for a second run.
CATCH_TEST_CASE("A key doesn't run again when its VM is lost and the only other voter restarts", "[claim][at-most-once]")
{
    SimulatedFleet fleet(3, 3, 55);
    Requests requests(fleet);
    fleet.runFor(Milliseconds(300));
    // The quorum that grants is VM 0 and VM 1.
    fleet.setLinkBlocked(0, 2, true);
    requests.start(0, "k");
    fleet.runFor(Milliseconds(200));
    fleet.kill(0);
    fleet.restart(1);
    const std::shared_ptr<std::optional<ClaimResult>> resent = requests.start(2, "k");
    fleet.runFor(Milliseconds(3000));
    CATCH_REQUIRE((*resent)->kind == ClaimResult::Kind::Unavailable);
    CATCH_REQUIRE(requests.runs["k"] == 1);
}

// An evicted claim would let its request run again. Records leave the store only after the retention of 600 s.
CATCH_TEST_CASE("A full store refuses new claims and evicts none", "[claim][at-most-once]")
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

// A claim that arrives after its release, or a copy from a member that missed the release, would block the key although its holder gave up.
CATCH_TEST_CASE("A released attempt isn't restored by a delayed claim or a copy from another member", "[claim][at-most-once]")
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

// Guards against records that are skipped or repeated between pages of a recovery, and against key hashes that are equal for different
// pairs of team and key.
CATCH_TEST_CASE("Paging transfers every record once", "[claim][at-most-once]")
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
