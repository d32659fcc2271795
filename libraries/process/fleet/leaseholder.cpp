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
    // Held leases that are due soon are renewed together with one that is due, so that a voter of several gets one call.
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
    const bool attemptOver
        = (lease.phase == Phase::Asking || lease.phase == Phase::Confirming) && (lease.isHopeless || now >= lease.attemptStart + this->options.attemptLimit);
    const bool lost = lease.phase == Phase::Held && now >= lease.validUntil;
    if (lease.phase != Phase::Idle && (!lease.wanted || attemptOver || lost)) {
        this->giveUp(name, lease, now, batches);
    }
    if (!lease.wanted || now < lease.nextSend) {
        return;
    }
    if (lease.phase == Phase::Idle) {
        lease.phase = Phase::Asking;
        lease.epoch = 0;
        lease.attemptStart = now;
        lease.votes.clear();
        lease.refusals.clear();
        lease.isHopeless = false;
    }
    this->ask(name, lease, now, batches);
}

void LeaseHolder::ask(const std::string &name, Lease &lease, SteadyTime now, Batches &batches)
{
    for (const CatalogueMessages::Member &voter : lease.committee.members()) {
        this->addRequest(voter, name, lease.epoch, false, now, batches);
    }
    // A first request is not repeated within its attempt: each repetition would raise the voters' epochs.
    lease.nextSend = now + (lease.phase == Phase::Asking ? this->options.attemptLimit : this->options.duration / 4);
}

void LeaseHolder::giveUp(const std::string &name, Lease &lease, SteadyTime now, Batches &batches)
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
    // Rivals for a name must not meet again and again.
    lease.nextSend = now + this->randomDelay(this->options.attemptLimit);
}

void LeaseHolder::addRequest(
    const CatalogueMessages::Member &voter, const std::string &name, std::uint64_t epoch, bool release, SteadyTime now, Batches &batches)
{
    Outgoing &batch = batches[voter.id()];
    if (batch.request.leases().empty()) {
        batch.voter = voter;
        batch.sent = now;
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

void LeaseHolder::takeReply(const Outgoing &asked, const FleetMessages::GrantLeasesReply &reply, SteadyTime now)
{
    if (!reply.voting() || reply.grants_size() != asked.request.leases_size()) {
        return;
    }
    for (int index = 0; index < reply.grants_size(); ++index) {
        const FleetMessages::LeaseGrant &grant = reply.grants(index);
        const FleetMessages::LeaseRequest &request = asked.request.leases(index);
        const auto found = this->leases.find(request.name());
        if (grant.name() != request.name() || found == this->leases.end()) {
            continue;
        }
        if (!grant.granted()) {
            // The answer to a release grants nothing either and says nothing about an attempt that began with the same batch.
            if (!request.release()) {
                this->takeRefusal(found->second, asked);
            }
            continue;
        }
        Lease &lease = found->second;
        // Answers to an attempt that was given up don't count: their grants may have been given back.
        if (lease.phase == Phase::Idle || asked.sent < lease.attemptStart || (lease.phase != Phase::Asking && grant.epoch() != lease.epoch)) {
            continue;
        }
        Vote &vote = lease.votes[asked.voter.id()];
        if (vote.epoch != grant.epoch() || asked.sent > vote.sent) {
            vote = Vote{grant.epoch(), asked.sent};
        }
        this->countVotes(lease, now);
    }
}

void LeaseHolder::takeRefusal(Lease &lease, const Outgoing &asked)
{
    if (lease.phase != Phase::Asking || asked.sent < lease.attemptStart) {
        return;
    }
    lease.refusals.insert(asked.voter.id());
    // Waiting for the rest of the attempt would lengthen the time without holder when a lease changes hands.
    if (lease.refusals.size() + lease.committee.quorum() > lease.committee.members().size()) {
        lease.isHopeless = true;
    }
}

void LeaseHolder::countVotes(Lease &lease, SteadyTime now)
{
    std::vector<SteadyTime> sent;
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
    if (lease.phase == Phase::Asking && granted >= quorum) {
        lease.phase = Phase::Confirming;
        lease.epoch = greatestEpoch;
        lease.nextSend = now;
    }
    for (const CatalogueMessages::Member &voter : lease.committee.members()) {
        const auto vote = lease.votes.find(voter.id());
        if (vote != lease.votes.end() && vote->second.epoch == lease.epoch) {
            sent.push_back(vote->second.sent);
        }
    }
    if (lease.phase != Phase::Confirming && lease.phase != Phase::Held) {
        return;
    }
    if (sent.size() < quorum) {
        lease.validUntil = now;
        return;
    }
    // The lease counts from the oldest request of the freshest quorum.
    std::nth_element(sent.begin(), sent.begin() + static_cast<std::ptrdiff_t>(quorum - 1), sent.end(), std::greater<>());
    lease.validUntil = sent[quorum - 1] + this->usableDuration();
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
