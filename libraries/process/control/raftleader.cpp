// The duties of RaftReplica as a leader.

#include "process/control/raftreplica.h"

#include <algorithm>

namespace Hyssophall {

void RaftReplica::becomeLeader()
{
    this->currentRole = Role::Leader;
    this->currentLeader = this->options.id;
    this->peers.clear();
    Progress fresh;
    fresh.next = this->replicaLog.lastIndex() + 1;
    fresh.contact = this->hooks.now();
    const ControlMessages::GroupConfiguration group = this->bootstrapConfiguration.value_or(this->replicaLog.configuration());
    for (const Replica &peer : group.replicas()) {
        this->peers[peer.id()] = fresh;
    }
    ControlMessages::Entry first;
    if (this->bootstrapConfiguration) {
        *first.mutable_configuration() = *this->bootstrapConfiguration;
        this->bootstrapConfiguration.reset();
    } else {
        first.set_leader_start(true);
    }
    this->appendOwn(first);
}

bool RaftReplica::appendOwn(ControlMessages::Entry entry)
{
    entry.set_term(this->currentTerm);
    entry.set_index(this->replicaLog.lastIndex() + 1);
    if (!this->succeeded(this->storage.append({entry}))) {
        return false;
    }
    this->replicaLog.append(entry);
    this->advanceCommit();
    this->sendAppends();
    return true;
}

std::optional<ControlMessages::Position> RaftReplica::propose(const ControlMessages::CatalogueChange &change)
{
    ControlMessages::Entry entry;
    *entry.mutable_change() = change;
    if (!this->isLeading() || !this->appendOwn(entry)) {
        return std::nullopt;
    }
    return this->replicaLog.last();
}

void RaftReplica::tickLeader()
{
    if (!this->hasMajorityContact()) {
        this->becomeFollower(this->currentTerm);
        return;
    }
    this->promoteLearner();
    if (this->hooks.now() >= this->heartbeatDue) {
        this->sendAppends();
    }
}

void RaftReplica::sendAppends()
{
    this->heartbeatDue = this->hooks.now() + this->options.heartbeatInterval;
    for (const Replica &peer : this->replicaLog.configuration().replicas()) {
        if (peer.id() != this->options.id) {
            this->sendAppend(peer);
        }
    }
}

void RaftReplica::sendAppend(const Replica &peer)
{
    Progress &progress = this->peers[peer.id()];
    const SteadyTime now = this->hooks.now();
    const bool needsSnapshot = progress.next <= this->replicaLog.snapshotIndex();
    if (needsSnapshot && (!progress.snapshotSent || now - *progress.snapshotSent > 10 * this->options.electionTimeout)) {
        progress.snapshotSent = now;
        ControlMessages::InstallSnapshotRequest request;
        request.set_term(this->currentTerm);
        request.set_leader(this->options.id);
        *request.mutable_snapshot() = this->replicaLog.snapshot();
        this->hooks.send(peer, request);
        return;
    }
    // While a snapshot is on its way, heartbeats refer to the snapshot's position.
    const std::uint64_t previous = std::max(progress.next - 1, this->replicaLog.snapshotIndex());
    ControlMessages::AppendRequest request;
    request.set_term(this->currentTerm);
    request.set_leader(this->options.id);
    request.mutable_previous()->set_index(previous);
    request.mutable_previous()->set_term(this->replicaLog.termAt(previous).value_or(0));
    request.set_committed_index(this->committed);
    if (!needsSnapshot) {
        for (const ControlMessages::Entry &entry : this->replicaLog.after(previous, this->options.maximumBatchBytes)) {
            *request.add_entries() = entry;
        }
    }
    this->hooks.send(peer, request);
}

RaftReplica::Progress *RaftReplica::countedPeer(const Replica &peer, std::uint64_t diskIncarnation, std::uint64_t requestTerm)
{
    const bool current = this->currentRole == Role::Leader && requestTerm == this->currentTerm;
    if (!current || !ReplicaGroup::hasDisk(this->replicaLog.configuration(), peer.id(), diskIncarnation)) {
        return nullptr;
    }
    return &this->peers[peer.id()];
}

void RaftReplica::acceptAppend(const Replica &peer, const ControlMessages::AppendRequest &request, SteadyTime sentAt, const ControlMessages::AppendReply &reply)
{
    if (reply.term() > this->currentTerm) {
        this->becomeFollower(reply.term());
        return;
    }
    Progress *progress = this->countedPeer(peer, reply.replica_disk_incarnation(), request.term());
    if (progress == nullptr) {
        return;
    }
    progress->contact = std::max(progress->contact, sentAt);
    if (!reply.success()) {
        if (reply.hint_index() + 1 < progress->next) {
            progress->next = reply.hint_index() + 1;
            progress->match = std::min(progress->match, reply.hint_index());
            this->sendAppend(peer);
        }
        return;
    }
    progress->match = std::max(progress->match, reply.match_index());
    progress->next = std::max(progress->next, progress->match + 1);
    this->remember(peer.id(), reply.replica_disk_incarnation(), progress->match);
    const std::uint64_t before = this->committed;
    this->advanceCommit();
    if (this->currentRole == Role::Leader && this->committed > before) {
        // The others learn at once that the entries are committed.
        this->sendAppends();
    } else if (this->currentRole == Role::Leader && progress->next <= this->replicaLog.lastIndex() && request.entries_size() > 0) {
        this->sendAppend(peer);
    }
}

void RaftReplica::acceptSnapshot(
    const Replica &peer, const ControlMessages::InstallSnapshotRequest &request, SteadyTime sentAt, const ControlMessages::InstallSnapshotReply &reply)
{
    if (reply.term() > this->currentTerm) {
        this->becomeFollower(reply.term());
        return;
    }
    Progress *progress = this->countedPeer(peer, reply.replica_disk_incarnation(), request.term());
    if (progress == nullptr) {
        return;
    }
    progress->contact = std::max(progress->contact, sentAt);
    progress->match = std::max(progress->match, request.snapshot().last().index());
    progress->next = std::max(progress->next, progress->match + 1);
    progress->snapshotSent.reset();
    this->remember(peer.id(), reply.replica_disk_incarnation(), progress->match);
    this->advanceCommit();
    if (this->currentRole == Role::Leader) {
        this->sendAppend(peer);
    }
}

void RaftReplica::advanceCommit()
{
    for (std::uint64_t index = this->replicaLog.lastIndex(); index > this->committed; --index) {
        if (this->replicaLog.termAt(index) != std::optional<std::uint64_t>(this->currentTerm)) {
            // An entry of an earlier term is committed only together with one of this term (Ongaro, 3.6.2).
            return;
        }
        const bool stored = ReplicaGroup::majority(this->replicaLog.configuration(), [this, index](const Replica &replica) {
            return replica.id() == this->options.id ? replica.disk_incarnation() == this->ownDisk : this->peers[replica.id()].match >= index;
        });
        if (stored) {
            this->committed = index;
            break;
        }
    }
    const bool settled = this->replicaLog.configurationIndex() <= this->committed;
    if (settled && !ReplicaGroup::hasVoter(this->replicaLog.configuration(), this->options.id, this->ownDisk)) {
        // The leader has removed itself.
        this->becomeFollower(this->currentTerm);
    }
}

bool RaftReplica::hasMajorityContact() const
{
    const SteadyTime now = this->hooks.now();
    return ReplicaGroup::majority(this->replicaLog.configuration(), [this, now](const Replica &replica) {
        const auto peer = this->peers.find(replica.id());
        return replica.id() == this->options.id || (peer != this->peers.end() && now - peer->second.contact < this->options.electionTimeout);
    });
}

void RaftReplica::promoteLearner()
{
    if (this->isGroupBusy()) {
        return;
    }
    for (const Replica &replica : this->replicaLog.configuration().replicas()) {
        const Progress &progress = this->peers[replica.id()];
        const bool reachable = this->hooks.now() - progress.contact < this->options.electionTimeout;
        if (replica.learner() && reachable && progress.match >= this->committed) {
            this->changeGroup(ReplicaGroup::withPromoted(this->replicaLog.configuration(), std::string(replica.id())));
            return;
        }
    }
}

bool RaftReplica::isGroupBusy() const
{
    // A configuration may only be changed once an entry of this term is committed; otherwise two leaders could each change it.
    return this->replicaLog.configurationIndex() > this->committed
        || this->replicaLog.termAt(this->committed) != std::optional<std::uint64_t>(this->currentTerm);
}

RaftReplica::GroupChange RaftReplica::putReplica(const Replica &replica)
{
    const ControlMessages::GroupConfiguration &group = this->replicaLog.configuration();
    if (replica.id().empty() || replica.address().empty() || replica.disk_incarnation() == 0) {
        return GroupChange::Invalid;
    }
    const Replica *existing = ReplicaGroup::find(group, replica.id());
    if (this->isLeading() && existing != nullptr && existing->disk_incarnation() == replica.disk_incarnation()) {
        return existing->address() == replica.address() ? GroupChange::Unchanged : GroupChange::Invalid;
    }
    if (this->isLeading() && replica.id() == this->options.id) {
        return GroupChange::Invalid;
    }
    return this->changeGroup(ReplicaGroup::withLearner(group, replica));
}

RaftReplica::GroupChange RaftReplica::removeReplica(const std::string &replicaId)
{
    if (replicaId.empty()) {
        return GroupChange::Invalid;
    }
    if (this->isLeading() && ReplicaGroup::find(this->replicaLog.configuration(), replicaId) == nullptr) {
        return GroupChange::Unchanged;
    }
    return this->changeGroup(ReplicaGroup::without(this->replicaLog.configuration(), replicaId));
}

RaftReplica::GroupChange RaftReplica::changeGroup(const std::optional<ControlMessages::GroupConfiguration> &next)
{
    if (!this->isLeading()) {
        return GroupChange::NotLeader;
    }
    if (this->isGroupBusy()) {
        return GroupChange::Busy;
    }
    if (!next) {
        return GroupChange::Invalid;
    }
    for (const Replica &replica : next->replicas()) {
        // What was counted for another disk with the same id, or before a removal, doesn't count.
        if (!ReplicaGroup::hasDisk(this->replicaLog.configuration(), replica.id(), replica.disk_incarnation())) {
            this->peers[replica.id()] = Progress{this->replicaLog.lastIndex() + 1, 0, SteadyTime(), std::nullopt};
        }
    }
    ControlMessages::Entry entry;
    *entry.mutable_configuration() = *next;
    return this->appendOwn(entry) ? GroupChange::Appended : GroupChange::NotLeader;
}

} // namespace Hyssophall
