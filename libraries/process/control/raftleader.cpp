// RaftReplica as the leader: replication, commits and changes of the group.

#include "process/control/raftreplica.h"

#include <algorithm>
#include <string>

namespace Hyssophall {

namespace {

/// A leader without replies goes on for this many election timeouts. It decides nothing and isn't up to date meanwhile, and its followers elect another
/// leader earlier if its messages don't reach them. If control VMs are only late, there is no election, which would move VMs and make them later.
constexpr int stepDownTimeouts = 2;

} // namespace

void RaftReplica::becomeLeader()
{
    this->currentRole = Role::Leader;
    this->currentLeader = this->options.id;
    this->peers.clear();
    Progress fresh;
    fresh.nextIndex = this->replicaLog.lastIndex() + 1;
    fresh.lastContact = this->hooks.now();
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
    this->appendAsLeader(first);
}

bool RaftReplica::appendAsLeader(ControlMessages::Entry entry)
{
    entry.set_term(this->currentTerm);
    entry.set_index(this->replicaLog.lastIndex() + 1);
    if (!this->checkStored(this->storage.append({entry}))) {
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
    if (!this->isLeading() || !this->appendAsLeader(entry)) {
        return std::nullopt;
    }
    return this->replicaLog.last();
}

void RaftReplica::tickLeader()
{
    if (!this->hasMajorityContact(stepDownTimeouts * this->options.electionTimeout)) {
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
    const bool needsSnapshot = progress.nextIndex <= this->replicaLog.snapshotIndex();
    if (needsSnapshot && (!progress.snapshotSentAt || now - *progress.snapshotSentAt > 10 * this->options.electionTimeout)) {
        progress.snapshotSentAt = now;
        ControlMessages::InstallSnapshotRequest request;
        request.set_term(this->currentTerm);
        request.set_leader(this->options.id);
        *request.mutable_snapshot() = this->replicaLog.snapshot();
        this->hooks.send(peer, request);
        return;
    }
    // While a snapshot is being sent, heartbeats have the snapshot's position as the previous one.
    const std::uint64_t previous = std::max(progress.nextIndex - 1, this->replicaLog.snapshotIndex());
    ControlMessages::AppendRequest request;
    request.set_term(this->currentTerm);
    request.set_leader(this->options.id);
    request.mutable_previous()->set_index(previous);
    request.mutable_previous()->set_term(this->replicaLog.termAt(previous).value_or(0));
    request.set_committed_index(this->committed);
    if (!needsSnapshot) {
        for (const ControlMessages::Entry &entry : this->replicaLog.entriesAfter(previous, this->options.maximumBatchBytes)) {
            *request.add_entries() = entry;
        }
    }
    this->hooks.send(peer, request);
}

RaftReplica::Progress *RaftReplica::currentProgressOf(const Replica &peer, std::uint64_t diskIncarnation, std::uint64_t requestTerm)
{
    const bool current = this->currentRole == Role::Leader && requestTerm == this->currentTerm;
    if (!current || !ReplicaGroup::hasDisk(this->replicaLog.configuration(), peer.id(), diskIncarnation)) {
        return nullptr;
    }
    return &this->peers[peer.id()];
}

void RaftReplica::handleAppendReply(
    const Replica &peer, const ControlMessages::AppendRequest &request, SteadyTime sentAt, const ControlMessages::AppendReply &reply)
{
    if (reply.term() > this->currentTerm) {
        this->becomeFollower(reply.term());
        return;
    }
    Progress *progress = this->currentProgressOf(peer, reply.replica_disk_incarnation(), request.term());
    if (progress == nullptr) {
        return;
    }
    progress->lastContact = std::max(progress->lastContact, sentAt);
    if (!reply.success()) {
        if (reply.hint_index() + 1 < progress->nextIndex) {
            progress->nextIndex = reply.hint_index() + 1;
            progress->matchIndex = std::min(progress->matchIndex, reply.hint_index());
            this->sendAppend(peer);
        }
        return;
    }
    progress->matchIndex = std::max(progress->matchIndex, reply.match_index());
    progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
    this->recordAcknowledged(peer.id(), reply.replica_disk_incarnation(), progress->matchIndex);
    const std::uint64_t before = this->committed;
    this->advanceCommit();
    if (this->currentRole == Role::Leader && this->committed > before) {
        // Tells the followers about the new committed index without waiting for the next heartbeat.
        this->sendAppends();
    } else if (this->currentRole == Role::Leader && progress->nextIndex <= this->replicaLog.lastIndex() && request.entries_size() > 0) {
        this->sendAppend(peer);
    }
}

void RaftReplica::handleSnapshotReply(
    const Replica &peer, const ControlMessages::InstallSnapshotRequest &request, SteadyTime sentAt, const ControlMessages::InstallSnapshotReply &reply)
{
    if (reply.term() > this->currentTerm) {
        this->becomeFollower(reply.term());
        return;
    }
    Progress *progress = this->currentProgressOf(peer, reply.replica_disk_incarnation(), request.term());
    if (progress == nullptr) {
        return;
    }
    progress->lastContact = std::max(progress->lastContact, sentAt);
    progress->matchIndex = std::max(progress->matchIndex, request.snapshot().last().index());
    progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
    progress->snapshotSentAt.reset();
    this->recordAcknowledged(peer.id(), reply.replica_disk_incarnation(), progress->matchIndex);
    this->advanceCommit();
    if (this->currentRole == Role::Leader) {
        this->sendAppend(peer);
    }
}

void RaftReplica::advanceCommit()
{
    for (std::uint64_t index = this->replicaLog.lastIndex(); index > this->committed; --index) {
        if (this->replicaLog.termAt(index) != std::optional<std::uint64_t>(this->currentTerm)) {
            // Counting replicas commits entries of the current term only; earlier entries are committed with them (Ongaro, 3.6.2).
            return;
        }
        const bool stored = ReplicaGroup::hasMajority(this->replicaLog.configuration(), [this, index](const Replica &replica) {
            return replica.id() == this->options.id ? replica.disk_incarnation() == this->ownDiskIncarnation : this->peers[replica.id()].matchIndex >= index;
        });
        if (stored) {
            this->committed = index;
            break;
        }
    }
    const bool isConfigurationCommitted = this->replicaLog.configurationIndex() <= this->committed;
    if (isConfigurationCommitted && !ReplicaGroup::hasVoter(this->replicaLog.configuration(), this->options.id, this->ownDiskIncarnation)) {
        // The leader removed itself from the group, and the removal is committed.
        this->becomeFollower(this->currentTerm);
    }
}

bool RaftReplica::hasMajorityContact(std::chrono::milliseconds maximumAge) const
{
    const SteadyTime now = this->hooks.now();
    return ReplicaGroup::hasMajority(this->replicaLog.configuration(), [this, now, maximumAge](const Replica &replica) {
        const auto peer = this->peers.find(replica.id());
        return replica.id() == this->options.id || (peer != this->peers.end() && now - peer->second.lastContact < maximumAge);
    });
}

std::string RaftReplica::describePeers() const
{
    std::string text;
    for (const std::pair<const std::string, Progress> &peer : this->peers) {
        if (peer.first != this->options.id) {
            const std::chrono::milliseconds age = std::chrono::duration_cast<std::chrono::milliseconds>(this->hooks.now() - peer.second.lastContact);
            text += ", " + peer.first + " holds entries up to " + std::to_string(peer.second.matchIndex) + " and replied to a request of "
                + std::to_string(age.count()) + " ms ago";
        }
    }
    return text;
}

void RaftReplica::promoteLearner()
{
    if (this->isGroupChangePending()) {
        return;
    }
    for (const Replica &replica : this->replicaLog.configuration().replicas()) {
        const Progress &progress = this->peers[replica.id()];
        const bool reachable = this->hooks.now() - progress.lastContact < this->options.electionTimeout;
        if (replica.learner() && reachable && progress.matchIndex >= this->committed) {
            this->changeGroup(ReplicaGroup::withPromotedLearner(this->replicaLog.configuration(), std::string(replica.id())));
            return;
        }
    }
}

bool RaftReplica::isGroupChangePending() const
{
    // A configuration may be changed only once the previous change and an entry of this term are committed. Otherwise two leaders could each change
    // it, and the two new configurations could have majorities without a common replica.
    return this->replicaLog.configurationIndex() > this->committed
        || this->replicaLog.termAt(this->committed) != std::optional<std::uint64_t>(this->currentTerm);
}

RaftReplica::GroupChangeResult RaftReplica::putReplica(const Replica &replica)
{
    const ControlMessages::GroupConfiguration &group = this->replicaLog.configuration();
    if (replica.id().empty() || replica.address().empty() || replica.disk_incarnation() == 0) {
        return GroupChangeResult::Invalid;
    }
    const Replica *existing = ReplicaGroup::find(group, replica.id());
    if (this->isLeading() && existing != nullptr && existing->disk_incarnation() == replica.disk_incarnation()) {
        return existing->address() == replica.address() ? GroupChangeResult::Unchanged : GroupChangeResult::Invalid;
    }
    if (this->isLeading() && replica.id() == this->options.id) {
        return GroupChangeResult::Invalid;
    }
    return this->changeGroup(ReplicaGroup::withLearner(group, replica));
}

RaftReplica::GroupChangeResult RaftReplica::removeReplica(const std::string &replicaId)
{
    if (replicaId.empty()) {
        return GroupChangeResult::Invalid;
    }
    if (this->isLeading() && ReplicaGroup::find(this->replicaLog.configuration(), replicaId) == nullptr) {
        return GroupChangeResult::Unchanged;
    }
    return this->changeGroup(ReplicaGroup::withoutReplica(this->replicaLog.configuration(), replicaId));
}

RaftReplica::GroupChangeResult RaftReplica::changeGroup(const std::optional<ControlMessages::GroupConfiguration> &next)
{
    if (!this->isLeading()) {
        return GroupChangeResult::NotLeader;
    }
    if (this->isGroupChangePending()) {
        return GroupChangeResult::ChangePending;
    }
    if (!next) {
        return GroupChangeResult::Invalid;
    }
    for (const Replica &replica : next->replicas()) {
        // Progress of an earlier disk of the same replica, or from before its removal, says nothing about the new disk.
        if (!ReplicaGroup::hasDisk(this->replicaLog.configuration(), replica.id(), replica.disk_incarnation())) {
            this->peers[replica.id()] = Progress{this->replicaLog.lastIndex() + 1, 0, SteadyTime(), std::nullopt};
        }
    }
    ControlMessages::Entry entry;
    *entry.mutable_configuration() = *next;
    return this->appendAsLeader(entry) ? GroupChangeResult::Appended : GroupChangeResult::NotLeader;
}

} // namespace Hyssophall
