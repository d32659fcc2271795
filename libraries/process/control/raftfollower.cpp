// The log of RaftReplica as a follower.

#include "process/control/raftreplica.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Positions in the log are counted from the first entry, so a gap in a message would shift all that follows it.
bool followsPrevious(const ControlMessages::AppendRequest &request)
{
    std::uint64_t index = request.previous().index();
    return std::all_of(request.entries().begin(), request.entries().end(), [&index](const ControlMessages::Entry &entry) { return entry.index() == ++index; });
}

} // namespace

ControlMessages::AppendReply RaftReplica::answerAppend(const ControlMessages::AppendRequest &request)
{
    ControlMessages::AppendReply reply;
    reply.set_replica_disk_incarnation(this->ownDisk);
    if (request.term() < this->currentTerm) {
        reply.set_term(this->currentTerm);
        return reply;
    }
    this->followLeader(request.term(), request.leader());
    if (this->halted) {
        return reply;
    }
    reply.set_term(this->currentTerm);
    this->leaderCommitted = request.committed_index();
    const std::uint64_t previous = request.previous().index();
    const bool matches
        = previous < this->replicaLog.snapshotIndex() || this->replicaLog.termAt(previous) == std::optional<std::uint64_t>(request.previous().term());
    if (!matches) {
        reply.set_hint_index(this->hintFor(previous));
        return reply;
    }
    if (!followsPrevious(request) || !this->appendReceived(request)) {
        return reply;
    }
    const std::uint64_t match = previous + static_cast<std::uint64_t>(request.entries_size());
    this->committed = std::max(this->committed, std::min(request.committed_index(), match));
    const Replica *leader = ReplicaGroup::find(this->replicaLog.configuration(), request.leader());
    if (leader != nullptr) {
        // The leader holds what it sends.
        this->remember(leader->id(), leader->disk_incarnation(), match);
    }
    this->checkBehind();
    reply.set_success(true);
    reply.set_match_index(match);
    return reply;
}

std::uint64_t RaftReplica::hintFor(std::uint64_t index) const
{
    const std::optional<std::uint64_t> conflicting = this->replicaLog.termAt(index);
    std::uint64_t hint = std::min(index - 1, this->replicaLog.lastIndex());
    // Skips the whole term that conflicts in one step.
    while (conflicting && hint > this->committed && this->replicaLog.termAt(hint) == conflicting) {
        --hint;
    }
    return hint;
}

bool RaftReplica::appendReceived(const ControlMessages::AppendRequest &request)
{
    std::vector<ControlMessages::Entry> added;
    for (const ControlMessages::Entry &entry : request.entries()) {
        if (entry.index() <= this->replicaLog.snapshotIndex()) {
            continue;
        }
        const std::optional<std::uint64_t> stored = this->replicaLog.termAt(entry.index());
        if (added.empty() && stored == std::optional<std::uint64_t>(entry.term())) {
            continue;
        }
        if (added.empty() && stored) {
            // A committed entry never changes; a group in which it would has lost its guarantees, and this replica keeps what it has.
            this->halted = entry.index() <= this->committed;
            if (this->halted || !this->succeeded(this->storage.truncateAfter(entry.index() - 1))) {
                return false;
            }
            this->replicaLog.truncateAfter(entry.index() - 1);
        }
        added.push_back(entry);
    }
    if (added.empty()) {
        return true;
    }
    if (!this->succeeded(this->storage.append(added))) {
        return false;
    }
    for (const ControlMessages::Entry &entry : added) {
        this->replicaLog.append(entry);
    }
    return true;
}

ControlMessages::InstallSnapshotReply RaftReplica::answerSnapshot(const ControlMessages::InstallSnapshotRequest &request)
{
    ControlMessages::InstallSnapshotReply reply;
    reply.set_replica_disk_incarnation(this->ownDisk);
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
    if (this->succeeded(this->storage.saveSnapshot(request.snapshot(), remaining))) {
        this->replicaLog.replace(request.snapshot(), std::move(remaining));
        this->committed = last.index();
        this->checkBehind();
    }
    return reply;
}

void RaftReplica::remember(const std::string &replicaId, std::uint64_t diskIncarnation, std::uint64_t index)
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
