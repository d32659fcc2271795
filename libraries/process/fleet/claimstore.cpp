#include "process/fleet/claimstore.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

ClaimStore::ClaimStore(Options options, SteadyTime start)
    : options(options)
    , start(start)
{
}

std::string ClaimStore::tombstoneName(const std::string &keyHash, const std::string &attempt)
{
    return keyHash + attempt;
}

FleetMessages::ClaimRecord ClaimStore::withAge(const StoredClaim &stored, SteadyTime now) const
{
    FleetMessages::ClaimRecord record = stored.record;
    // Rounded down, so that a copy never expires before its original.
    record.set_age_milliseconds(static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(now - stored.created).count()));
    return record;
}

void ClaimStore::erase(std::map<std::string, StoredClaim>::iterator position)
{
    this->bodyBytes -= position->second.record.outcome().body().size();
    this->records.erase(position);
}

void ClaimStore::expire(SteadyTime now)
{
    while (!this->expiries.empty() && now >= this->expiries.front().created + this->options.retention) {
        const auto found = this->records.find(this->expiries.front().name);
        if (found != this->records.end() && now >= found->second.created + this->options.retention) {
            this->erase(found);
        }
        this->expiries.pop_front();
    }
    while (!this->tombstoneExpiries.empty() && now >= this->tombstoneExpiries.front().created + this->options.tombstoneRetention) {
        this->tombstones.erase(this->tombstoneExpiries.front().name);
        this->tombstoneExpiries.pop_front();
    }
}

FleetMessages::ClaimReply ClaimStore::claim(const FleetMessages::ClaimRequest &request, std::uint64_t rosterVersion, SteadyTime now)
{
    this->expire(now);
    FleetMessages::ClaimReply reply;
    const FleetMessages::ClaimRecord &requested = request.record();
    const auto found = this->records.find(requested.key_hash());
    if (!areRostersCompatible(request.roster_version(), rosterVersion)) {
        reply.set_result(FleetMessages::ClaimReply::RESULT_ROSTER_MISMATCH);
    } else if (found != this->records.end() && found->second.record.attempt() != requested.attempt()) {
        // Checked before recovery: a stored record is valid even while other records of the group may be missing.
        reply.set_result(FleetMessages::ClaimReply::RESULT_HELD);
        *reply.mutable_held() = this->withAge(found->second, now);
    } else if (this->isRecovering(claimGroupOf(requested.key_hash()), now)) {
        reply.set_result(FleetMessages::ClaimReply::RESULT_RECOVERING);
    } else if (found != this->records.end()) {
        reply.set_result(FleetMessages::ClaimReply::RESULT_GRANTED);
    } else if (this->records.size() + this->tombstones.size() >= this->options.maximumRecords
        || this->tombstones.contains(tombstoneName(requested.key_hash(), requested.attempt()))) {
        reply.set_result(FleetMessages::ClaimReply::RESULT_FULL);
    } else {
        FleetMessages::ClaimRecord record = requested;
        record.set_state(FleetMessages::CLAIM_STATE_CLAIMED);
        record.clear_outcome();
        this->insert(record, now);
        reply.set_result(FleetMessages::ClaimReply::RESULT_GRANTED);
    }
    return reply;
}

void ClaimStore::insert(const FleetMessages::ClaimRecord &record, SteadyTime created)
{
    StoredClaim &stored = this->records[record.key_hash()];
    stored.record = record;
    stored.created = created;
    const auto position
        = std::upper_bound(this->expiries.begin(), this->expiries.end(), created, [](SteadyTime time, const Expiry &expiry) { return time < expiry.created; });
    this->expiries.insert(position, Expiry{created, record.key_hash()});
}

void ClaimStore::setOutcome(StoredClaim &stored, const FleetMessages::ClaimOutcome &outcome)
{
    this->bodyBytes -= stored.record.outcome().body().size();
    *stored.record.mutable_outcome() = outcome;
    stored.record.set_state(FleetMessages::CLAIM_STATE_DONE);
    const std::size_t bytes = outcome.body().size();
    if (bytes > this->options.maximumOutcomeBytes || this->bodyBytes + bytes > this->options.maximumBodyBytes) {
        stored.record.mutable_outcome()->clear_body();
        stored.record.mutable_outcome()->set_body_omitted(true);
    }
    this->bodyBytes += stored.record.outcome().body().size();
}

void ClaimStore::finish(const FleetMessages::FinishClaimRequest &request, SteadyTime now)
{
    this->expire(now);
    const auto found = this->records.find(request.key_hash());
    const bool sameAttempt = found != this->records.end() && found->second.record.attempt() == request.attempt();
    if (request.has_outcome()) {
        if (sameAttempt) {
            this->setOutcome(found->second, request.outcome());
        }
        return;
    }
    if (sameAttempt && found->second.record.state() == FleetMessages::CLAIM_STATE_DONE) {
        return;
    }
    if (sameAttempt) {
        this->erase(found);
    }
    // A delayed claim may arrive after its release, and the tombstone refuses it. A full store adds no tombstone; such a claim then only blocks the key
    // for the retention.
    if (this->records.size() + this->tombstones.size() < this->options.maximumRecords
        && this->tombstones.try_emplace(tombstoneName(request.key_hash(), request.attempt()), now).second) {
        this->tombstoneExpiries.push_back(Expiry{now, tombstoneName(request.key_hash(), request.attempt())});
    }
}

FleetMessages::RecoverClaimsReply ClaimStore::page(
    const FleetMessages::RecoverClaimsRequest &request, const std::function<bool(std::uint32_t)> &sharesGroup, SteadyTime now)
{
    this->expire(now);
    FleetMessages::RecoverClaimsReply reply;
    std::size_t bytes = 0;
    for (auto current = this->records.upper_bound(request.after_key_hash()); current != this->records.end(); ++current) {
        if (!sharesGroup(claimGroupOf(current->first))) {
            continue;
        }
        if (static_cast<std::size_t>(reply.records_size()) >= this->options.recordsPerPage || bytes >= this->options.bytesPerPage) {
            reply.set_more(true);
            break;
        }
        *reply.add_records() = this->withAge(current->second, now);
        bytes += current->second.record.outcome().body().size();
    }
    return reply;
}

void ClaimStore::merge(const FleetMessages::RecoverClaimsReply &page, SteadyTime now)
{
    this->expire(now);
    for (const FleetMessages::ClaimRecord &record : page.records()) {
        const SteadyTime created = now - std::chrono::milliseconds(record.age_milliseconds());
        if (now >= created + this->options.retention || this->tombstones.contains(tombstoneName(record.key_hash(), record.attempt()))) {
            continue;
        }
        const auto found = this->records.find(record.key_hash());
        const bool done = record.state() == FleetMessages::CLAIM_STATE_DONE;
        // Only an attempt that a quorum granted has an outcome, so a record with an outcome replaces the claim of any other attempt. Copies are
        // stored beyond maximumRecords, because dropping one could let its request run twice.
        if (found != this->records.end() && (!done || found->second.record.state() == FleetMessages::CLAIM_STATE_DONE)) {
            continue;
        }
        if (found != this->records.end()) {
            this->erase(found);
        }
        FleetMessages::ClaimRecord copy = record;
        copy.clear_outcome();
        this->insert(copy, created);
        if (done) {
            this->setOutcome(this->records.find(record.key_hash())->second, record.outcome());
        }
    }
}

void ClaimStore::setRecovering(std::set<std::uint32_t> groups)
{
    this->allRecovering = false;
    this->recovering = std::move(groups);
}

bool ClaimStore::isRecovering(std::uint32_t group, SteadyTime now) const
{
    // Claims that were granted before the start, and lost with it, have passed their retention.
    if (now >= this->start + this->options.retention) {
        return !this->allRecovering && this->recovering.contains(group);
    }
    return this->allRecovering || this->recovering.contains(group);
}

std::size_t ClaimStore::size() const
{
    return this->records.size();
}

} // namespace Hyssophall
