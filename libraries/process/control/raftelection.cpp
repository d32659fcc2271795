// Elections of RaftReplica, and the recovery of its acknowledged position after a start.

#include "process/control/raftreplica.h"

#include <algorithm>

namespace Hyssophall {

namespace {

bool isBefore(const ControlMessages::Position &left, const ControlMessages::Position &right)
{
    return left.term() < right.term() || (left.term() == right.term() && left.index() < right.index());
}

} // namespace

ControlMessages::VoteReply RaftReplica::handleVoteRequest(const ControlMessages::VoteRequest &request)
{
    ControlMessages::VoteReply reply;
    reply.set_voter_disk_incarnation(this->ownDiskIncarnation);
    if (this->hasLeaderContact()) {
        // The candidate's term isn't adopted either: otherwise one replica that doesn't reach the leader would depose it for the whole group.
        reply.set_term(this->currentTerm);
        return reply;
    }
    if (request.pre_vote()) {
        reply.set_term(this->currentTerm);
        reply.set_granted(request.term() > this->currentTerm && this->mayVoteFor(request));
        this->reportFirstVotableTerm(request, reply);
        return reply;
    }
    if (request.term() > this->currentTerm) {
        this->becomeFollower(request.term());
    }
    const bool isVoteFree = this->votedFor.empty() || this->votedFor == request.candidate();
    if (request.term() == this->currentTerm && isVoteFree && this->mayVoteFor(request)) {
        reply.set_granted(this->saveTerm(this->currentTerm, request.candidate()));
        this->delayElection();
    }
    reply.set_term(this->currentTerm);
    this->reportFirstVotableTerm(request, reply);
    return reply;
}

void RaftReplica::reportFirstVotableTerm(const ControlMessages::VoteRequest &request, ControlMessages::VoteReply &reply) const
{
    // Only this replica may know of the terms before, if the replica that reported them is lost. A candidate that isn't told never reaches a term in
    // which it can get this vote.
    if (request.term() < this->firstVotableTerm) {
        reply.set_term(std::max(this->currentTerm, this->firstVotableTerm - 1));
    }
}

bool RaftReplica::mayVoteFor(const ControlMessages::VoteRequest &request) const
{
    if (!this->isVoting() || request.term() < this->firstVotableTerm) {
        return false;
    }
    // A replica with an empty log votes only to bootstrap a group: it can't know whether it belongs to an existing one.
    if (this->replicaLog.configuration().replicas().empty() && request.last().index() > 1) {
        return false;
    }
    return !isBefore(request.last(), this->replicaLog.last());
}

bool RaftReplica::hasLeaderContact() const
{
    if (this->currentRole == Role::Leader) {
        return this->hasMajorityContact(this->options.electionTimeout);
    }
    return this->lastLeaderContact && this->hooks.now() - *this->lastLeaderContact < this->options.electionTimeout;
}

bool RaftReplica::mayCampaign() const
{
    if (ReplicaGroup::hasVoter(this->replicaLog.configuration(), this->options.id, this->ownDiskIncarnation)) {
        return true;
    }
    // If only this replica holds the entry that removes it, it must still be able to become leader and commit that entry (Ongaro, 4.2.2).
    const bool isUncommitted = this->replicaLog.configurationIndex() > this->committed;
    return isUncommitted && ReplicaGroup::hasVoter(this->replicaLog.previousConfiguration(), this->options.id, this->ownDiskIncarnation);
}

void RaftReplica::campaign(bool preVote)
{
    this->currentRole = Role::Candidate;
    this->currentLeader.clear();
    this->preVoting = preVote;
    this->campaignTerm = std::max(this->currentTerm + 1, this->firstVotableTerm);
    this->votes = {this->options.id};
    if (!preVote && !this->saveTerm(this->campaignTerm, this->options.id)) {
        return;
    }
    this->requestVotes(preVote);
    this->countVotes();
}

void RaftReplica::requestVotes(bool preVote)
{
    ControlMessages::VoteRequest request;
    request.set_term(this->campaignTerm);
    request.set_candidate(this->options.id);
    request.set_candidate_disk_incarnation(this->ownDiskIncarnation);
    *request.mutable_last() = this->replicaLog.last();
    request.set_pre_vote(preVote);
    const ControlMessages::GroupConfiguration group = this->bootstrapConfiguration.value_or(this->replicaLog.configuration());
    for (const Replica &peer : group.replicas()) {
        if (peer.id() != this->options.id && !peer.learner()) {
            this->hooks.send(peer, request);
        }
    }
}

void RaftReplica::handleVoteReply(const Replica &peer, const ControlMessages::VoteRequest &request, const ControlMessages::VoteReply &reply)
{
    if (reply.term() > this->currentTerm) {
        this->becomeFollower(reply.term());
        return;
    }
    const bool current = this->currentRole == Role::Candidate && request.term() == this->campaignTerm && request.pre_vote() == this->preVoting;
    const ControlMessages::GroupConfiguration &group = this->bootstrapConfiguration ? *this->bootstrapConfiguration : this->replicaLog.configuration();
    if (!current || !reply.granted() || !ReplicaGroup::hasVoter(group, peer.id(), reply.voter_disk_incarnation())) {
        return;
    }
    this->votes.insert(peer.id());
    this->countVotes();
}

void RaftReplica::countVotes()
{
    if (this->bootstrapConfiguration) {
        // A bootstrap needs the votes of all replicas, so that two groups that share a replica can't both start.
        if (this->votes.size() == static_cast<std::size_t>(this->bootstrapConfiguration->replicas_size())) {
            this->becomeLeader();
        }
        return;
    }
    const bool won
        = ReplicaGroup::hasMajority(this->replicaLog.configuration(), [this](const Replica &replica) { return this->votes.count(replica.id()) > 0; });
    if (won && this->preVoting) {
        this->campaign(false);
    } else if (won) {
        this->becomeLeader();
    }
}

bool RaftReplica::bootstrap(const ControlMessages::GroupConfiguration &configuration)
{
    if (this->halted || this->replicaLog.lastIndex() != 0 || !ReplicaGroup::hasVoter(configuration, this->options.id, this->ownDiskIncarnation)) {
        return false;
    }
    this->bootstrapConfiguration = configuration;
    this->campaign(false);
    return true;
}

void RaftReplica::becomeFollower(std::uint64_t seenTerm)
{
    if (seenTerm > this->currentTerm && !this->saveTerm(seenTerm, "")) {
        return;
    }
    if (this->currentRole == Role::Leader) {
        this->delayElection();
    }
    this->currentRole = Role::Follower;
    this->currentLeader.clear();
    this->bootstrapConfiguration.reset();
}

void RaftReplica::followLeader(std::uint64_t leaderTerm, const std::string &leader)
{
    this->becomeFollower(leaderTerm);
    this->currentLeader = leader;
    this->lastLeaderContact = this->hooks.now();
    this->hasHeardLeader = true;
    this->delayElection();
}

void RaftReplica::delayElection()
{
    const std::uint64_t jitterRange = static_cast<std::uint64_t>(this->options.electionTimeout.count());
    const std::chrono::milliseconds jitter(static_cast<std::chrono::milliseconds::rep>(this->hooks.random() % std::max<std::uint64_t>(1, jitterRange)));
    this->electionDue = this->hooks.now() + this->options.electionTimeout + jitter;
}

void RaftReplica::tickRecall()
{
    if (this->hooks.now() >= this->recallDue) {
        this->recallDue = this->hooks.now() + this->options.electionTimeout / 2;
        ControlMessages::RecallPositionRequest request;
        request.set_replica(this->options.id);
        request.set_disk_incarnation(this->ownDiskIncarnation);
        for (const Replica &peer : this->replicaLog.configuration().replicas()) {
            if (peer.id() != this->options.id && this->recallReplies.count(peer.id()) == 0) {
                this->hooks.send(peer, request);
            }
        }
    }
    this->completeRecallIfSufficient();
}

ControlMessages::RecallPositionReply RaftReplica::handleRecallRequest(const ControlMessages::RecallPositionRequest &request) const
{
    ControlMessages::RecallPositionReply reply;
    reply.set_term(this->currentTerm);
    reply.set_replica_disk_incarnation(this->ownDiskIncarnation);
    const auto known = this->acknowledged.find({request.replica(), request.disk_incarnation()});
    if (known != this->acknowledged.end()) {
        *reply.mutable_acknowledged() = known->second;
    }
    return reply;
}

void RaftReplica::handleRecallReply(const Replica &peer, const ControlMessages::RecallPositionReply &reply)
{
    if (this->isRecallComplete || !ReplicaGroup::hasDisk(this->replicaLog.configuration(), peer.id(), reply.replica_disk_incarnation())) {
        return;
    }
    this->recallReplies.insert(peer.id());
    if (isBefore(this->recalledPosition, reply.acknowledged())) {
        this->recalledPosition = reply.acknowledged();
    }
    this->firstVotableTerm = std::max(this->firstVotableTerm, reply.term() + 1);
    this->completeRecallIfSufficient();
}

void RaftReplica::completeRecallIfSufficient()
{
    const ControlMessages::GroupConfiguration &group = this->replicaLog.configuration();
    const std::size_t voters = ReplicaGroup::voterCount(group);
    std::size_t answered = 0;
    for (const Replica &replica : group.replicas()) {
        answered += !replica.learner() && replica.id() != this->options.id && this->recallReplies.count(replica.id()) > 0 ? 1 : 0;
    }
    const std::size_t others = voters - (ReplicaGroup::hasVoter(group, this->options.id, this->ownDiskIncarnation) ? 1 : 0);
    const std::size_t majority = voters / 2 + 1;
    // The replicas that replied include at least one of every majority that an acknowledgement of this replica may have counted for.
    const bool coversAllMajorities = answered == others || answered + majority > others + 1;
    // After the grace period, replies of a majority suffice. Otherwise a restart of one replica while another is lost would stop the group.
    const bool hasMajorityAfterGrace = answered + 1 >= majority && this->hooks.now() - this->recallStarted >= this->options.recallGrace;
    if (!this->isRecallComplete && (coversAllMajorities || hasMajorityAfterGrace)) {
        this->isRecallComplete = true;
        this->isMissingAcknowledged = true;
        this->updateMissingAcknowledged();
        this->delayElection();
    }
}

void RaftReplica::updateMissingAcknowledged()
{
    this->isMissingAcknowledged = this->isMissingAcknowledged && isBefore(this->replicaLog.last(), this->recalledPosition);
}

} // namespace Hyssophall
