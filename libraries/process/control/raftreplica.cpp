#include "process/control/raftreplica.h"

#include <utility>

namespace Hyssophall {

RaftReplica::RaftReplica(Options options, Hooks hooks, ReplicaStorage &storage, StoredReplica stored)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , storage(storage)
    , replicaLog(std::move(stored.snapshot), std::move(stored.entries))
    , ownDisk(stored.diskIncarnation)
    , currentTerm(stored.term)
    , votedFor(std::move(stored.votedFor))
    , recallStarted(this->hooks.now())
    , recallDue(this->hooks.now())
    , heartbeatDue(this->hooks.now())
{
    this->committed = this->replicaLog.snapshotIndex();
    // An empty disk has acknowledged nothing, so there is nothing to recall.
    this->recalled = this->replicaLog.lastIndex() == 0;
    if (!this->recalled) {
        // A leader may have counted on this replica just before it restarted.
        this->leaderContact = this->hooks.now();
    }
    this->delayElection();
    this->finishRecallIfAnswered();
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
    if (!this->recalled) {
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

std::optional<RaftReplica::Reply> RaftReplica::answer(const Request &request)
{
    if (this->halted) {
        return std::nullopt;
    }
    Reply reply;
    if (std::holds_alternative<ControlMessages::VoteRequest>(request)) {
        reply = this->answerVote(std::get<ControlMessages::VoteRequest>(request));
    } else if (std::holds_alternative<ControlMessages::AppendRequest>(request)) {
        reply = this->answerAppend(std::get<ControlMessages::AppendRequest>(request));
    } else if (std::holds_alternative<ControlMessages::InstallSnapshotRequest>(request)) {
        reply = this->answerSnapshot(std::get<ControlMessages::InstallSnapshotRequest>(request));
    } else {
        reply = this->answerRecall(std::get<ControlMessages::RecallPositionRequest>(request));
    }
    if (this->halted) {
        return std::nullopt;
    }
    return reply;
}

void RaftReplica::accept(const Replica &peer, const Request &request, SteadyTime sentAt, const Reply &reply)
{
    if (this->halted || request.index() != reply.index()) {
        return;
    }
    if (std::holds_alternative<ControlMessages::VoteRequest>(request)) {
        this->acceptVote(peer, std::get<ControlMessages::VoteRequest>(request), std::get<ControlMessages::VoteReply>(reply));
    } else if (std::holds_alternative<ControlMessages::AppendRequest>(request)) {
        this->acceptAppend(peer, std::get<ControlMessages::AppendRequest>(request), sentAt, std::get<ControlMessages::AppendReply>(reply));
    } else if (std::holds_alternative<ControlMessages::InstallSnapshotRequest>(request)) {
        this->acceptSnapshot(peer, std::get<ControlMessages::InstallSnapshotRequest>(request), sentAt, std::get<ControlMessages::InstallSnapshotReply>(reply));
    } else {
        this->acceptRecall(peer, std::get<ControlMessages::RecallPositionReply>(reply));
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
    if (this->succeeded(this->storage.saveSnapshot(snapshot, remaining))) {
        this->replicaLog.replace(snapshot, std::move(remaining));
    }
}

bool RaftReplica::isLeading() const
{
    return !this->halted && this->currentRole == Role::Leader && this->hasMajorityContact()
        && this->replicaLog.termAt(this->committed) == std::optional<std::uint64_t>(this->currentTerm);
}

bool RaftReplica::isVoting() const
{
    return !this->halted && this->recalled && !this->behind;
}

bool RaftReplica::isHalted() const
{
    return this->halted;
}

bool RaftReplica::isInTouch() const
{
    const bool isCaughtUp = this->currentRole == Role::Leader || this->committed >= this->leaderCommitted;
    return !this->halted && this->hearsLeader() && isCaughtUp;
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
    return this->ownDisk;
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
    if (!this->succeeded(this->storage.saveVote(newTerm, vote))) {
        return false;
    }
    this->currentTerm = newTerm;
    this->votedFor = vote;
    return true;
}

bool RaftReplica::succeeded(const boost::leaf::result<void> &stored)
{
    if (!stored) {
        // What the disk holds is unknown now; only a restart, which reads it again, makes it known.
        this->halted = true;
        this->currentRole = Role::Follower;
        this->currentLeader.clear();
        return false;
    }
    return true;
}

} // namespace Hyssophall
