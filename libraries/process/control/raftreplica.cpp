#include "process/control/raftreplica.h"

#include <utility>

namespace Hyssophall {

RaftReplica::RaftReplica(Options options, Hooks hooks, ReplicaStorage &storage, PersistentState stored)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , storage(storage)
    , replicaLog(std::move(stored.snapshot), std::move(stored.entries))
    , ownDiskIncarnation(stored.diskIncarnation)
    , currentTerm(stored.term)
    , votedFor(std::move(stored.votedFor))
    , recallStarted(this->hooks.now())
    , recallDue(this->hooks.now())
    , heartbeatDue(this->hooks.now())
{
    this->committed = this->replicaLog.snapshotIndex();
    // An empty disk has acknowledged nothing, so there is no position to recover.
    this->isRecallComplete = this->replicaLog.lastIndex() == 0;
    if (!this->isRecallComplete) {
        // The leader's lease may rest on a reply that this replica gave just before it restarted.
        this->lastLeaderContact = this->hooks.now();
    }
    this->delayElection();
    this->completeRecallIfSufficient();
}

void RaftReplica::tick()
{
    if (this->halted) {
        return;
    }
    if (this->currentRole == Role::Leader) {
        this->tickLeader();
        return;
    }
    if (!this->isRecallComplete) {
        this->tickRecall();
        return;
    }
    if (this->hooks.now() < this->electionDue) {
        return;
    }
    if (this->isVoting() && this->mayCampaign()) {
        this->campaign(true);
    }
    this->delayElection();
}

std::optional<RaftReplica::Reply> RaftReplica::handleRequest(const Request &request)
{
    if (this->halted) {
        return std::nullopt;
    }
    Reply reply;
    if (std::holds_alternative<ControlMessages::VoteRequest>(request)) {
        reply = this->handleVoteRequest(std::get<ControlMessages::VoteRequest>(request));
    } else if (std::holds_alternative<ControlMessages::AppendRequest>(request)) {
        reply = this->handleAppendRequest(std::get<ControlMessages::AppendRequest>(request));
    } else if (std::holds_alternative<ControlMessages::InstallSnapshotRequest>(request)) {
        reply = this->handleSnapshotRequest(std::get<ControlMessages::InstallSnapshotRequest>(request));
    } else {
        reply = this->handleRecallRequest(std::get<ControlMessages::RecallPositionRequest>(request));
    }
    if (this->halted) {
        return std::nullopt;
    }
    return reply;
}

void RaftReplica::handleReply(const Replica &peer, const Request &request, SteadyTime sentAt, const Reply &reply)
{
    if (this->halted || request.index() != reply.index()) {
        return;
    }
    if (std::holds_alternative<ControlMessages::VoteRequest>(request)) {
        this->handleVoteReply(peer, std::get<ControlMessages::VoteRequest>(request), std::get<ControlMessages::VoteReply>(reply));
    } else if (std::holds_alternative<ControlMessages::AppendRequest>(request)) {
        this->handleAppendReply(peer, std::get<ControlMessages::AppendRequest>(request), sentAt, std::get<ControlMessages::AppendReply>(reply));
    } else if (std::holds_alternative<ControlMessages::InstallSnapshotRequest>(request)) {
        this->handleSnapshotReply(
            peer, std::get<ControlMessages::InstallSnapshotRequest>(request), sentAt, std::get<ControlMessages::InstallSnapshotReply>(reply));
    } else {
        this->handleRecallReply(peer, std::get<ControlMessages::RecallPositionReply>(reply));
    }
}

void RaftReplica::compact(const ControlMessages::StateSnapshot &snapshot)
{
    const std::uint64_t index = snapshot.last().index();
    if (this->halted || index <= this->replicaLog.snapshotIndex() || index > this->committed) {
        return;
    }
    const std::vector<ControlMessages::Entry> &entries = this->replicaLog.entries();
    const std::ptrdiff_t covered = static_cast<std::ptrdiff_t>(index - this->replicaLog.snapshotIndex());
    std::vector<ControlMessages::Entry> remaining(entries.begin() + covered, entries.end());
    if (this->checkStored(this->storage.saveSnapshot(snapshot, remaining))) {
        this->replicaLog.replace(snapshot, std::move(remaining));
    }
}

bool RaftReplica::isLeading() const
{
    return !this->halted && this->currentRole == Role::Leader && this->hasMajorityContact(this->options.electionTimeout)
        && this->replicaLog.termAt(this->committed) == std::optional<std::uint64_t>(this->currentTerm);
}

bool RaftReplica::isVoting() const
{
    return !this->halted && this->isRecallComplete && !this->isMissingAcknowledged;
}

bool RaftReplica::isHalted() const
{
    return this->halted;
}

bool RaftReplica::isUpToDate() const
{
    // Until an entry of its own term is committed, a leader doesn't know all that earlier leaders have committed, and its followers don't either. A replica
    // that has just started doesn't know what was committed while it wasn't running.
    const bool isTermCommitted = this->replicaLog.termAt(this->committed) == std::optional<std::uint64_t>(this->currentTerm);
    const bool isCaughtUp = isTermCommitted && (this->currentRole == Role::Leader || (this->hasHeardLeader && this->committed >= this->leaderCommittedIndex));
    return !this->halted && this->hasLeaderContact() && isCaughtUp;
}

RaftReplica::Role RaftReplica::role() const
{
    return this->currentRole;
}

std::uint64_t RaftReplica::term() const
{
    return this->currentTerm;
}

std::uint64_t RaftReplica::committedIndex() const
{
    return this->committed;
}

std::uint64_t RaftReplica::diskIncarnation() const
{
    return this->ownDiskIncarnation;
}

const std::string &RaftReplica::id() const
{
    return this->options.id;
}

const std::string &RaftReplica::leaderId() const
{
    return this->currentLeader;
}

const ReplicaLog &RaftReplica::log() const
{
    return this->replicaLog;
}

bool RaftReplica::saveTerm(std::uint64_t newTerm, const std::string &vote)
{
    if (!this->checkStored(this->storage.saveVote(newTerm, vote))) {
        return false;
    }
    this->currentTerm = newTerm;
    this->votedFor = vote;
    return true;
}

bool RaftReplica::checkStored(const boost::leaf::result<void> &stored)
{
    if (!stored) {
        // The content of the disk is unknown after a failure until it is read again, by a restart or ControlGroup::reopen().
        this->halted = true;
        this->currentRole = Role::Follower;
        this->currentLeader.clear();
        return false;
    }
    return true;
}

} // namespace Hyssophall
