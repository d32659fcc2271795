#include "process/fleet/quorumclaimcoordinator.h"

#include "process/fleet/claimround.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>
#include <vector>

namespace Hyssophall {

/// Releases that are repeated until they are acknowledged. Completions may outlive the coordinator.
struct QuorumClaimCoordinator::PendingReleases {
    struct Entry {
        CatalogueMessages::Member member;
        FleetMessages::FinishClaimRequest request;
        SteadyTime first;
        SteadyTime sent;
    };
    std::mutex mutex;
    /// By attempt and member.
    std::map<std::pair<std::string, std::string>, Entry> entries;
};

namespace {

constexpr std::chrono::milliseconds releaseTimeout{1000};

} // namespace

QuorumClaimCoordinator::QuorumClaimCoordinator(
    FleetContext context, Options options, std::shared_ptr<ClaimGroups> groups, std::shared_ptr<ClaimMember> local, WaitHook wait)
    : context(std::move(context))
    , options(options)
    , groups(std::move(groups))
    , local(std::move(local))
    , wait(std::move(wait))
    , pending(std::make_shared<PendingReleases>())
{
}

QuorumClaimCoordinator::~QuorumClaimCoordinator() = default;

std::chrono::milliseconds QuorumClaimCoordinator::timeoutUntil(SteadyTime deadline) const
{
    return std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(deadline - this->context.clock()));
}

void QuorumClaimCoordinator::waitFor(const std::shared_ptr<ClaimRound> &round, SteadyTime deadline)
{
    if (!this->wait) {
        round->waitUntil(deadline);
        return;
    }
    while (!round->isDecided() && this->context.clock() < deadline) {
        this->wait(deadline);
    }
}

ClaimResult QuorumClaimCoordinator::claim(const std::string &team, const std::string &idempotencyKey, std::uint64_t fingerprint, SteadyTime deadline)
{
    FleetMessages::ClaimRequest request;
    request.mutable_record()->set_key_hash(claimKeyHash(team, idempotencyKey));
    request.mutable_record()->set_fingerprint(fingerprint);
    request.mutable_record()->set_state(FleetMessages::CLAIM_STATE_CLAIMED);
    ClaimResult result;
    for (int attempt = 1; this->context.clock() < deadline; ++attempt) {
        const std::shared_ptr<const Roster> roster = this->context.roster();
        const std::shared_ptr<const Committee> committee = this->groups->committeeOf(*roster, claimGroupOf(request.record().key_hash()));
        request.set_roster_version(roster->version());
        request.mutable_record()->set_attempt(
            this->context.self + "/" + std::to_string(this->context.incarnation) + "/" + std::to_string(this->attempts.fetch_add(1)));
        bool ambiguous = false;
        result = this->attempt(request, *committee, std::min(deadline, this->context.clock() + this->options.attemptLimit), ambiguous);
        const bool repeat = result.kind == ClaimResult::Kind::Unavailable || (ambiguous && attempt < this->options.ambiguousAttempts);
        if (!repeat) {
            return result;
        }
        this->pause(attempt, deadline);
    }
    return result;
}

void QuorumClaimCoordinator::pause(int attempt, SteadyTime deadline)
{
    // Rivals that repeat at the same moment would meet again, so the pause is random.
    const std::chrono::microseconds longest
        = std::min<std::chrono::microseconds>(this->options.longestPause, this->options.firstPause * (1 << std::min(attempt - 1, 10)));
    const std::uint64_t span = static_cast<std::uint64_t>(longest.count());
    const SteadyTime end = std::min(deadline, this->context.clock() + std::chrono::microseconds(this->context.random() % (span + 1)));
    while (this->context.clock() < end) {
        if (this->wait) {
            this->wait(end);
        } else {
            std::this_thread::sleep_until(end);
        }
    }
}

ClaimResult QuorumClaimCoordinator::attempt(const FleetMessages::ClaimRequest &request, const Committee &committee, SteadyTime deadline, bool &ambiguous)
{
    const std::shared_ptr<ClaimRound> round = std::make_shared<ClaimRound>(committee.members().size(), committee.quorum(), request.record().fingerprint());
    for (const CatalogueMessages::Member &member : committee.members()) {
        this->ask(round, member, request, deadline);
    }
    this->waitFor(round, deadline);
    ClaimResult result = round->result();
    ambiguous = round->isAmbiguous();
    if (result.kind == ClaimResult::Kind::Granted) {
        result.attempt = request.record().attempt();
    } else {
        // Also members that didn't answer may have granted.
        this->releaseAt(committee, request.record().key_hash(), request.record().attempt());
    }
    return result;
}

void QuorumClaimCoordinator::ask(
    const std::shared_ptr<ClaimRound> &round, const CatalogueMessages::Member &member, const FleetMessages::ClaimRequest &request, SteadyTime deadline)
{
    if (member.id() == this->context.self) {
        round->takeReply(this->local->claim(request));
        return;
    }
    this->context.transport->claim(
        member.fleet_address(), request, this->timeoutUntil(deadline), [round](const boost::leaf::result<FleetMessages::ClaimReply> &reply) {
            if (reply) {
                round->takeReply(*reply);
            } else {
                round->takeFailure();
            }
        });
}

void QuorumClaimCoordinator::finish(
    const std::string &team, const std::string &idempotencyKey, const std::string &attempt, const FleetMessages::ClaimOutcome &outcome, SteadyTime deadline)
{
    FleetMessages::FinishClaimRequest request;
    request.set_key_hash(claimKeyHash(team, idempotencyKey));
    request.set_attempt(attempt);
    *request.mutable_outcome() = outcome;
    if (outcome.body().size() > this->options.maximumBodyBytes) {
        request.mutable_outcome()->clear_body();
        request.mutable_outcome()->set_body_omitted(true);
    }
    const std::shared_ptr<const Committee> committee = this->groups->committeeOf(*this->context.roster(), claimGroupOf(request.key_hash()));
    const std::shared_ptr<ClaimRound> round = std::make_shared<ClaimRound>(committee->members().size(), committee->quorum(), 0);
    for (const CatalogueMessages::Member &member : committee->members()) {
        if (member.id() == this->context.self) {
            this->local->finishClaim(request);
            round->takeAcknowledgement();
            continue;
        }
        this->context.transport->finishClaim(
            member.fleet_address(), request, this->timeoutUntil(deadline), [round](const boost::leaf::result<FleetMessages::FinishClaimReply> &reply) {
                reply ? round->takeAcknowledgement() : round->takeFailure();
            });
    }
    this->waitFor(round, deadline);
}

void QuorumClaimCoordinator::release(const std::string &team, const std::string &idempotencyKey, const std::string &attempt)
{
    const std::string keyHash = claimKeyHash(team, idempotencyKey);
    this->releaseAt(*this->groups->committeeOf(*this->context.roster(), claimGroupOf(keyHash)), keyHash, attempt);
}

void QuorumClaimCoordinator::releaseAt(const Committee &committee, const std::string &keyHash, const std::string &attempt)
{
    FleetMessages::FinishClaimRequest request;
    request.set_key_hash(keyHash);
    request.set_attempt(attempt);
    const SteadyTime now = this->context.clock();
    for (const CatalogueMessages::Member &member : committee.members()) {
        if (member.id() == this->context.self) {
            this->local->finishClaim(request);
            continue;
        }
        {
            std::lock_guard<std::mutex> lock(this->pending->mutex);
            if (this->pending->entries.size() < this->options.maximumPendingReleases) {
                this->pending->entries[{attempt, member.id()}] = PendingReleases::Entry{member, request, now, now};
            }
        }
        this->sendRelease(member, request);
    }
}

void QuorumClaimCoordinator::sendRelease(const CatalogueMessages::Member &member, const FleetMessages::FinishClaimRequest &request)
{
    const std::weak_ptr<PendingReleases> weak = this->pending;
    const std::pair<std::string, std::string> name(request.attempt(), member.id());
    this->context.transport->finishClaim(
        member.fleet_address(), request, releaseTimeout, [weak, name](const boost::leaf::result<FleetMessages::FinishClaimReply> &reply) {
            const std::shared_ptr<PendingReleases> releases = weak.lock();
            if (releases != nullptr && reply) {
                std::lock_guard<std::mutex> lock(releases->mutex);
                releases->entries.erase(name);
            }
        });
}

void QuorumClaimCoordinator::step()
{
    const SteadyTime now = this->context.clock();
    std::vector<PendingReleases::Entry> due;
    {
        std::lock_guard<std::mutex> lock(this->pending->mutex);
        // After the retention, the members have dropped the claim by themselves.
        std::erase_if(this->pending->entries, [this, now](const auto &entry) { return now >= entry.second.first + this->options.retention; });
        for (std::pair<const std::pair<std::string, std::string>, PendingReleases::Entry> &entry : this->pending->entries) {
            if (now >= entry.second.sent + releaseTimeout) {
                entry.second.sent = now;
                due.push_back(entry.second);
            }
        }
    }
    for (const PendingReleases::Entry &entry : due) {
        this->sendRelease(entry.member, entry.request);
    }
}

std::size_t QuorumClaimCoordinator::pendingReleases() const
{
    std::lock_guard<std::mutex> lock(this->pending->mutex);
    return this->pending->entries.size();
}

} // namespace Hyssophall
