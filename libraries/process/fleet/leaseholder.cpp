#include "process/fleet/leaseholder.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace Hyssophall {

LeaseHolder::LeaseHolder(Options options, RandomSource random)
    : options(std::move(options))
    , random(std::move(random))
{
}

std::chrono::nanoseconds LeaseHolder::usableDuration() const
{
    return std::chrono::nanoseconds(this->options.duration) * 9 / 10;
}

std::chrono::nanoseconds LeaseHolder::randomDelay(std::chrono::nanoseconds longest)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(longest.count() + 1)));
}

void LeaseHolder::setWanted(const std::vector<std::string> &names)
{
    const std::set<std::string> wanted(names.begin(), names.end());
    for (const std::string &name : wanted) {
        this->leases.try_emplace(name);
    }
    for (std::pair<const std::string, Lease> &lease : this->leases) {
        lease.second.wanted = wanted.contains(lease.first);
    }
}

std::vector<LeaseHolder::Outgoing> LeaseHolder::tick(SteadyTime now, const Roster &roster)
{
    this->rosterVersion = roster.version();
    Batches batches;
    // When a renewal is due, held leases that are due soon are renewed with it, so that a voter of several leases gets one call.
    const SteadyTime renewalsUntil = this->isRenewalDue(now) ? now + this->options.duration / 8 : now;
    for (auto current = this->leases.begin(); current != this->leases.end();) {
        Lease &lease = current->second;
        if (lease.committee.members().empty() || lease.committeeRoster != roster.version()) {
            lease.committee = Committee::of(roster, current->first);
            lease.committeeRoster = roster.version();
            this->countVotes(lease, now);
        }
        if (lease.phase == Phase::Held && lease.nextSend <= renewalsUntil) {
            lease.nextSend = std::min(lease.nextSend, now);
        }
        this->advance(current->first, lease, now, batches);
        current = !lease.wanted && lease.phase == Phase::Idle ? this->leases.erase(current) : std::next(current);
    }
    std::vector<Outgoing> outgoing;
    outgoing.reserve(batches.size());
    for (std::pair<const std::string, Outgoing> &batch : batches) {
        outgoing.push_back(std::move(batch.second));
    }
    return outgoing;
}

bool LeaseHolder::isRenewalDue(SteadyTime now) const
{
    return std::any_of(this->leases.begin(), this->leases.end(), [now](const std::pair<const std::string, Lease> &lease) {
        return lease.second.phase == Phase::Held && lease.second.wanted && now >= lease.second.nextSend;
    });
}

void LeaseHolder::advance(const std::string &name, Lease &lease, SteadyTime now, Batches &batches)
{
    const bool attemptOver = (lease.phase == Phase::Requesting || lease.phase == Phase::Confirming)
        && (lease.cannotReachQuorum || now >= lease.attemptStart + this->options.attemptTimeout);
    const bool lost = lease.phase == Phase::Held && now >= lease.validUntil;
    if (lease.phase != Phase::Idle && (!lease.wanted || attemptOver || lost)) {
        this->abandon(name, lease, now, batches);
    }
    if (!lease.wanted || now < lease.nextSend) {
        return;
    }
    if (lease.phase == Phase::Idle) {
        lease.phase = Phase::Requesting;
        lease.epoch = 0;
        lease.attemptStart = now;
        lease.votes.clear();
        lease.refusals.clear();
        lease.cannotReachQuorum = false;
    }
    this->requestVotes(name, lease, now, batches);
}

void LeaseHolder::requestVotes(const std::string &name, Lease &lease, SteadyTime now, Batches &batches)
{
    for (const CatalogueMessages::Member &voter : lease.committee.members()) {
        this->addRequest(voter, name, lease.epoch, false, now, batches);
    }
    // A first request is not sent again within its attempt, because each copy would raise the voters' epochs.
    lease.nextSend = now + (lease.phase == Phase::Requesting ? this->options.attemptTimeout : this->options.duration / 4);
}

void LeaseHolder::abandon(const std::string &name, Lease &lease, SteadyTime now, Batches &batches)
{
    for (const CatalogueMessages::Member &voter : lease.committee.members()) {
        const auto vote = lease.votes.find(voter.id());
        if (vote != lease.votes.end()) {
            this->addRequest(voter, name, vote->second.epoch, true, now, batches);
        }
    }
    lease.phase = Phase::Idle;
    lease.epoch = 0;
    lease.votes.clear();
    // The delay is random, so that VMs that compete for a name don't split the votes again and again.
    lease.nextSend = now + this->randomDelay(this->options.attemptTimeout);
}

void LeaseHolder::addRequest(
    const CatalogueMessages::Member &voter, const std::string &name, std::uint64_t epoch, bool release, SteadyTime now, Batches &batches)
{
    Outgoing &batch = batches[voter.id()];
    if (batch.request.leases().empty()) {
        batch.voter = voter;
        batch.sendTime = now;
        batch.request.set_holder(this->options.self);
        batch.request.set_holder_incarnation(this->options.incarnation);
        batch.request.set_roster_version(this->rosterVersion);
    }
    FleetMessages::LeaseRequest &request = *batch.request.add_leases();
    request.set_name(name);
    request.set_epoch(epoch);
    request.set_duration_milliseconds(static_cast<std::uint32_t>(this->options.duration.count()));
    request.set_release(release);
}

void LeaseHolder::handleReply(const Outgoing &sentBatch, const FleetMessages::GrantLeasesReply &reply, SteadyTime now)
{
    if (!reply.voting() || reply.grants_size() != sentBatch.request.leases_size()) {
        return;
    }
    for (int index = 0; index < reply.grants_size(); ++index) {
        const FleetMessages::LeaseGrant &grant = reply.grants(index);
        const FleetMessages::LeaseRequest &request = sentBatch.request.leases(index);
        const auto found = this->leases.find(request.name());
        if (grant.name() != request.name() || found == this->leases.end()) {
            continue;
        }
        if (!grant.granted()) {
            // The reply to a release is never granted, and is no refusal of an attempt that began in the same batch.
            if (!request.release()) {
                this->handleRefusal(found->second, sentBatch);
            }
            continue;
        }
        Lease &lease = found->second;
        // Replies to an abandoned attempt don't count, because their grants may have been released.
        if (lease.phase == Phase::Idle || sentBatch.sendTime < lease.attemptStart || (lease.phase != Phase::Requesting && grant.epoch() != lease.epoch)) {
            continue;
        }
        Vote &vote = lease.votes[sentBatch.voter.id()];
        if (vote.epoch != grant.epoch() || sentBatch.sendTime > vote.sendTime) {
            vote = Vote{grant.epoch(), sentBatch.sendTime};
        }
        this->countVotes(lease, now);
    }
}

void LeaseHolder::handleRefusal(Lease &lease, const Outgoing &sentBatch)
{
    if (lease.phase != Phase::Requesting || sentBatch.sendTime < lease.attemptStart) {
        return;
    }
    lease.refusals.insert(sentBatch.voter.id());
    // Waiting for the attempt's timeout would lengthen the time without a holder when a lease moves to another VM.
    if (lease.refusals.size() + lease.committee.quorum() > lease.committee.members().size()) {
        lease.cannotReachQuorum = true;
    }
}

void LeaseHolder::countVotes(Lease &lease, SteadyTime now)
{
    std::vector<SteadyTime> sendTimes;
    std::size_t granted = 0;
    std::uint64_t greatestEpoch = 0;
    for (const CatalogueMessages::Member &voter : lease.committee.members()) {
        const auto vote = lease.votes.find(voter.id());
        if (vote != lease.votes.end()) {
            ++granted;
            greatestEpoch = std::max(greatestEpoch, vote->second.epoch);
        }
    }
    const std::size_t quorum = lease.committee.quorum();
    if (lease.phase == Phase::Requesting && granted >= quorum) {
        lease.phase = Phase::Confirming;
        lease.epoch = greatestEpoch;
        lease.nextSend = now;
    }
    for (const CatalogueMessages::Member &voter : lease.committee.members()) {
        const auto vote = lease.votes.find(voter.id());
        if (vote != lease.votes.end() && vote->second.epoch == lease.epoch) {
            sendTimes.push_back(vote->second.sendTime);
        }
    }
    if (lease.phase != Phase::Confirming && lease.phase != Phase::Held) {
        return;
    }
    if (sendTimes.size() < quorum) {
        lease.validUntil = now;
        return;
    }
    // The lease counts from the send time of the oldest request among the most recent quorum of grants.
    std::nth_element(sendTimes.begin(), sendTimes.begin() + static_cast<std::ptrdiff_t>(quorum - 1), sendTimes.end(), std::greater<>());
    lease.validUntil = sendTimes[quorum - 1] + this->usableDuration();
    if (lease.phase == Phase::Confirming) {
        lease.phase = Phase::Held;
        lease.nextSend = std::max(lease.nextSend, lease.attemptStart + this->options.duration / 4);
    }
}

std::optional<std::uint64_t> LeaseHolder::heldEpoch(const std::string &name, SteadyTime now) const
{
    const auto found = this->leases.find(name);
    if (found == this->leases.end() || found->second.phase != Phase::Held || now >= found->second.validUntil) {
        return std::nullopt;
    }
    return found->second.epoch;
}

std::vector<std::string> LeaseHolder::heldNames(SteadyTime now) const
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, Lease> &lease : this->leases) {
        if (lease.second.phase == Phase::Held && now < lease.second.validUntil) {
            names.push_back(lease.first);
        }
    }
    return names;
}

} // namespace Hyssophall
