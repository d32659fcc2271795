// RaftReplica as a follower: replication of the leader's log.

#include "process/control/raftreplica.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// The log finds an entry by its distance from the first one, so a gap in a message would give all later entries the wrong index.
bool areConsecutive(const ControlMessages::AppendRequest &request)
{
    std::uint64_t index = request.previous().index();
    return std::all_of(request.entries().begin(), request.entries().end(), [&index](const ControlMessages::Entry &entry) { return entry.index() == ++index; });
}

} // namespace

ControlMessages::AppendReply RaftReplica::handleAppendRequest(const ControlMessages::AppendRequest &request)
{
    ControlMessages::AppendReply reply;
    reply.set_replica_disk_incarnation(this->ownDiskIncarnation);
    if (request.term() < this->currentTerm) {
        reply.set_term(this->currentTerm);
        return reply;
    }
    this->followLeader(request.term(), request.leader());
    if (this->halted) {
        return reply;
    }
    reply.set_term(this->currentTerm);
    this->leaderCommittedIndex = request.committed_index();
    const std::uint64_t previous = request.previous().index();
    const bool matches
        = previous < this->replicaLog.snapshotIndex() || this->replicaLog.termAt(previous) == std::optional<std::uint64_t>(request.previous().term());
    if (!matches) {
        reply.set_hint_index(this->conflictHint(previous));
        return reply;
    }
    if (!areConsecutive(request) || !this->appendReceived(request)) {
        return reply;
    }
    const std::uint64_t match = previous + static_cast<std::uint64_t>(request.entries_size());
    this->committed = std::max(this->committed, std::min(request.committed_index(), match));
    const Replica *leader = ReplicaGroup::find(this->replicaLog.configuration(), request.leader());
    if (leader != nullptr) {
        // The leader itself has stored the entries that it sends.
        this->recordAcknowledged(leader->id(), leader->disk_incarnation(), match);
    }
    this->updateMissingAcknowledged();
    reply.set_success(true);
    reply.set_match_index(match);
    return reply;
}

std::uint64_t RaftReplica::conflictHint(std::uint64_t index) const
{
    const std::optional<std::uint64_t> conflicting = this->replicaLog.termAt(index);
    std::uint64_t hint = std::min(index - 1, this->replicaLog.lastIndex());
    // Skips all entries of the conflicting term at once, so that the leader needs one round trip per term instead of one per entry.
    while (conflicting && hint > this->committed && this->replicaLog.termAt(hint) == conflicting) {
        --hint;
    }
    return hint;
}

bool RaftReplica::appendReceived(const ControlMessages::AppendRequest &request)
{
    std::vector<ControlMessages::Entry> added;
    bool isReplacing = false;
    for (const ControlMessages::Entry &entry : request.entries()) {
        if (entry.index() <= this->replicaLog.snapshotIndex()) {
            continue;
        }
        const std::optional<std::uint64_t> stored = this->replicaLog.termAt(entry.index());
        if (added.empty() && stored == std::optional<std::uint64_t>(entry.term())) {
            continue;
        }
        if (added.empty() && stored) {
            // A committed entry must never change. If the leader contradicts one, the group's guarantees are broken: this replica halts and keeps its log.
            this->halted = entry.index() <= this->committed;
            if (this->halted) {
                return false;
            }
            isReplacing = true;
        }
        added.push_back(entry);
    }
    if (added.empty()) {
        return true;
    }
    // If the former entries were removed first, a failure in between would leave a log without entries that this replica has acknowledged, and it
    // wouldn't vote until a leader has sent it later ones.
    const std::uint64_t last = added.front().index() - 1;
    if (!this->checkStored(isReplacing ? this->storage.replaceAfter(last, added) : this->storage.append(added))) {
        return false;
    }
    if (isReplacing) {
        this->replicaLog.truncateAfter(last);
    }
    for (const ControlMessages::Entry &entry : added) {
        this->replicaLog.append(entry);
    }
    return true;
}

ControlMessages::InstallSnapshotReply RaftReplica::handleSnapshotRequest(const ControlMessages::InstallSnapshotRequest &request)
{
    ControlMessages::InstallSnapshotReply reply;
    reply.set_replica_disk_incarnation(this->ownDiskIncarnation);
    if (request.term() < this->currentTerm) {
        reply.set_term(this->currentTerm);
        return reply;
    }
    this->followLeader(request.term(), request.leader());
    if (this->halted) {
        return reply;
    }
    reply.set_term(this->currentTerm);
    const ControlMessages::Position &last = request.snapshot().last();
    if (last.index() <= this->committed) {
        return reply;
    }
    std::vector<ControlMessages::Entry> remaining;
    if (this->replicaLog.termAt(last.index()) == std::optional<std::uint64_t>(last.term())) {
        const std::vector<ControlMessages::Entry> &entries = this->replicaLog.entries();
        remaining.assign(entries.begin() + static_cast<std::ptrdiff_t>(last.index() - this->replicaLog.snapshotIndex()), entries.end());
    }
    if (this->checkStored(this->storage.saveSnapshot(request.snapshot(), remaining))) {
        this->replicaLog.replace(request.snapshot(), std::move(remaining));
        this->committed = last.index();
        this->updateMissingAcknowledged();
    }
    return reply;
}

void RaftReplica::recordAcknowledged(const std::string &replicaId, std::uint64_t diskIncarnation, std::uint64_t index)
{
    const std::optional<std::uint64_t> term = this->replicaLog.termAt(index);
    ControlMessages::Position &known = this->acknowledged[{replicaId, diskIncarnation}];
    if (!term || (*term < known.term()) || (*term == known.term() && index <= known.index())) {
        return;
    }
    known.set_term(*term);
    known.set_index(index);
}

} // namespace Hyssophall
