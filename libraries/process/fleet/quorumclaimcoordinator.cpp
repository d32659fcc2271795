#include "process/fleet/quorumclaimcoordinator.h"

#include "process/fleet/claimround.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>
#include <vector>

namespace Hyssophall {

/// Releases that are sent again until they are acknowledged. Shared with the completions of calls, which may run after the coordinator is destroyed.
struct QuorumClaimCoordinator::PendingReleases {
    struct Entry {
        CatalogueMessages::Member member;
        FleetMessages::FinishClaimRequest request;
        SteadyTime firstSendTime;
        SteadyTime sendTime;
    };
    std::mutex mutex;
    /// By attempt id and member id.
    std::map<std::pair<std::string, std::string>, Entry> entries;
};

namespace {

constexpr std::chrono::milliseconds releaseTimeout{1000};

} // namespace

QuorumClaimCoordinator::QuorumClaimCoordinator(
    FleetContext context, Options options, std::shared_ptr<ClaimGroups> groups, std::shared_ptr<ClaimMember> local, WaitHook waitHook)
    : context(std::move(context))
    , options(options)
    , groups(std::move(groups))
    , local(std::move(local))
    , waitHook(std::move(waitHook))
    , pending(std::make_shared<PendingReleases>())
{
}

QuorumClaimCoordinator::~QuorumClaimCoordinator() = default;

std::chrono::milliseconds QuorumClaimCoordinator::timeoutUntil(SteadyTime deadline) const
{
    return std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(deadline - this->context.clock()));
}

void QuorumClaimCoordinator::waitForRound(const std::shared_ptr<ClaimRound> &round, SteadyTime deadline)
{
    if (!this->waitHook) {
        round->waitUntil(deadline);
        return;
    }
    while (!round->isDecided() && this->context.clock() < deadline) {
        this->waitHook(deadline);
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
            this->context.self + "/" + std::to_string(this->context.incarnation) + "/" + std::to_string(this->nextAttempt.fetch_add(1)));
        bool ambiguous = false;
        result = this->runAttempt(request, *committee, std::min(deadline, this->context.clock() + this->options.attemptTimeout), ambiguous);
        const bool mustRetry = result.kind == ClaimResult::Kind::Unavailable || (ambiguous && attempt < this->options.ambiguousAttempts);
        if (!mustRetry) {
            return result;
        }
        this->waitBeforeRetry(attempt, deadline);
    }
    return result;
}

void QuorumClaimCoordinator::waitBeforeRetry(int attempt, SteadyTime deadline)
{
    // The delay is random, because competing VMs that retry at the same moment would split the votes again.
    const std::chrono::microseconds maximumDelay
        = std::min<std::chrono::microseconds>(this->options.maximumRetryDelay, this->options.initialRetryDelay * (1 << std::min(attempt - 1, 10)));
    const std::uint64_t span = static_cast<std::uint64_t>(maximumDelay.count());
    const SteadyTime end = std::min(deadline, this->context.clock() + std::chrono::microseconds(this->context.random() % (span + 1)));
    while (this->context.clock() < end) {
        if (this->waitHook) {
            this->waitHook(end);
        } else {
            std::this_thread::sleep_until(end);
        }
    }
}

ClaimResult QuorumClaimCoordinator::runAttempt(const FleetMessages::ClaimRequest &request, const Committee &committee, SteadyTime deadline, bool &ambiguous)
{
    const std::shared_ptr<ClaimRound> round = std::make_shared<ClaimRound>(committee.members().size(), committee.quorum(), request.record().fingerprint());
    for (const CatalogueMessages::Member &member : committee.members()) {
        this->sendClaim(round, member, request, deadline);
    }
    this->waitForRound(round, deadline);
    ClaimResult result = round->result();
    ambiguous = round->isAmbiguous();
    if (result.kind == ClaimResult::Kind::Granted) {
        result.attempt = request.record().attempt();
    } else {
        // Sent to all members, because those whose reply didn't arrive may have granted, too.
        this->releaseFromCommittee(committee, request.record().key_hash(), request.record().attempt());
    }
    return result;
}

void QuorumClaimCoordinator::sendClaim(
    const std::shared_ptr<ClaimRound> &round, const CatalogueMessages::Member &member, const FleetMessages::ClaimRequest &request, SteadyTime deadline)
{
    if (member.id() == this->context.self) {
        round->addReply(this->local->claim(request));
        return;
    }
    this->context.transport->claim(
        member.fleet_address(), request, this->timeoutUntil(deadline), [round](const boost::leaf::result<FleetMessages::ClaimReply> &reply) {
            if (reply) {
                round->addReply(*reply);
            } else {
                round->addFailure();
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
            round->addAcknowledgement();
            continue;
        }
        this->context.transport->finishClaim(
            member.fleet_address(), request, this->timeoutUntil(deadline), [round](const boost::leaf::result<FleetMessages::FinishClaimReply> &reply) {
                reply ? round->addAcknowledgement() : round->addFailure();
            });
    }
    this->waitForRound(round, deadline);
}

void QuorumClaimCoordinator::release(const std::string &team, const std::string &idempotencyKey, const std::string &attempt)
{
    const std::string keyHash = claimKeyHash(team, idempotencyKey);
    this->releaseFromCommittee(*this->groups->committeeOf(*this->context.roster(), claimGroupOf(keyHash)), keyHash, attempt);
}

void QuorumClaimCoordinator::releaseFromCommittee(const Committee &committee, const std::string &keyHash, const std::string &attempt)
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
        // After the retention, the claim has expired at the members.
        std::erase_if(this->pending->entries, [this, now](const auto &entry) { return now >= entry.second.firstSendTime + this->options.retention; });
        for (std::pair<const std::pair<std::string, std::string>, PendingReleases::Entry> &entry : this->pending->entries) {
            if (now >= entry.second.sendTime + releaseTimeout) {
                entry.second.sendTime = now;
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
