// Proposals and status of ControlGroup.

#include "process/control/controlgroup.h"

#include <algorithm>
#include <glog/logging.h>
#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

/// Interval at which a waiting proposal checks whether this replica still leads.
constexpr std::chrono::milliseconds leadershipCheckInterval{50};

bool isRosterChange(const ControlMessages::CatalogueChange &change)
{
    return change.change().has_admit_member() || change.change().has_admit_first_members()
        || change.change().kind_case() == CatalogueMessages::Change::kRemoveMember;
}

ControlMessages::ProposeReply replyWithoutOutcome(ControlMessages::ProposeReply::Result result)
{
    ControlMessages::ProposeReply reply;
    reply.set_result(result);
    return reply;
}

ControlMessages::ProposeReply replyWithOutcome(const ControlMessages::ChangeOutcome &outcome)
{
    ControlMessages::ProposeReply reply;
    reply.set_result(ControlMessages::ProposeReply::RESULT_DECIDED);
    *reply.mutable_outcome() = outcome;
    return reply;
}

ControlMessages::ProposeReply replyWithResult(ControlMessages::ChangeOutcome::Result result, const std::string &field, const std::string &expected)
{
    ControlMessages::ChangeOutcome outcome;
    outcome.set_result(result);
    outcome.set_field(field);
    outcome.set_expected(expected);
    return replyWithOutcome(outcome);
}

} // namespace

RemoteChangeProposer::Hooks ControlGroup::proposerHooks()
{
    RemoteChangeProposer::Hooks result;
    result.addresses = [this] {
        std::vector<std::string> addresses = {this->ownAddress};
        std::lock_guard<std::mutex> lock(this->mutex);
        for (const ControlMessages::Replica &peer : this->replica->log().configuration().replicas()) {
            addresses.push_back(peer.address());
        }
        return addresses;
    };
    result.propose = [this](const std::string &address,
                         const ControlMessages::ProposeRequest &request,
                         std::chrono::milliseconds timeout) -> boost::leaf::result<ControlMessages::ProposeReply> {
        if (address == this->ownAddress) {
            return this->proposeLocally(request, std::chrono::steady_clock::now() + timeout);
        }
        return this->clients->at(address)->propose(request, timeout);
    };
    result.now = [] { return std::chrono::steady_clock::now(); };
    result.sleep = [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); };
    return result;
}

boost::leaf::result<ControlMessages::ChangeOutcome> ControlGroup::propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline)
{
    return this->proposer.propose(change, deadline);
}

boost::leaf::result<ControlMessages::ChangeOutcome> ControlGroup::putReplica(const ControlMessages::Replica &newReplica, SteadyTime deadline)
{
    return this->proposer.putReplica(newReplica, deadline);
}

boost::leaf::result<ControlMessages::ChangeOutcome> ControlGroup::removeReplica(const std::string &replicaId, SteadyTime deadline)
{
    return this->proposer.removeReplica(replicaId, deadline);
}

boost::leaf::result<ControlMessages::StatusReply> ControlGroup::status(SteadyTime)
{
    return this->localStatus();
}

ControlMessages::ProposeReply ControlGroup::proposeLocally(const ControlMessages::ProposeRequest &request, SteadyTime deadline)
{
    return request.has_change() ? this->proposeCatalogueChange(request.change(), deadline) : this->proposeGroupChange(request, deadline);
}

ControlMessages::ProposeReply ControlGroup::proposeCatalogueChange(const ControlMessages::CatalogueChange &change, SteadyTime deadline)
{
    if (change.change_id().empty()) {
        return replyWithResult(ControlMessages::ChangeOutcome::RESULT_INVALID, "change_id", "an id that is unique to the change");
    }
    std::optional<ControlMessages::ChangeOutcome> known;
    const std::function<bool()> isKnown = [this, &known, &change] {
        known = this->state.outcome(change.change_id());
        return known.has_value();
    };
    {
        std::lock_guard<std::mutex> lock(this->stateMutex);
        if (isKnown()) {
            return replyWithOutcome(*known);
        }
    }
    // The applied index is read before the hook is called, so that a roster change that is applied in between is found in the log below.
    const std::uint64_t appliedBefore = this->appliedIndex;
    const bool rosterApplied = !isRosterChange(change) || this->hooks.isRosterApplied();
    std::uint64_t term = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->replica->isLeading()) {
            return this->notLeader();
        }
        if (!this->logContainsChange(change.change_id())) {
            if (isRosterChange(change) && (!rosterApplied || this->logContainsRosterChangeAfter(appliedBefore))) {
                return replyWithResult(
                    ControlMessages::ChangeOutcome::RESULT_ROSTER_UNSETTLED, "roster", "the previous roster change in force on all serving VMs");
            }
            if (!this->replica->propose(change)) {
                // The disk failed during the append. The entry may be on the disk and be loaded at the next start.
                return replyWithoutOutcome(ControlMessages::ProposeReply::RESULT_UNKNOWN);
            }
            this->publishReplicaState();
        }
        term = this->replica->term();
    }
    if (!this->waitUntil(isKnown, term, deadline)) {
        this->logUndecided(change.change_id());
        return replyWithoutOutcome(ControlMessages::ProposeReply::RESULT_UNKNOWN);
    }
    return replyWithOutcome(*known);
}

ControlMessages::ProposeReply ControlGroup::proposeGroupChange(const ControlMessages::ProposeRequest &request, SteadyTime deadline)
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const RaftReplica::GroupChangeResult change
            = request.has_put_replica() ? this->replica->putReplica(request.put_replica()) : this->replica->removeReplica(request.remove_replica());
        this->publishReplicaState();
        switch (change) {
        case RaftReplica::GroupChangeResult::NotLeader:
            return this->notLeader();
        case RaftReplica::GroupChangeResult::ChangePending:
            return replyWithResult(ControlMessages::ChangeOutcome::RESULT_CONFLICT, "group", "the previous change of the group committed");
        case RaftReplica::GroupChangeResult::Invalid:
            return replyWithResult(ControlMessages::ChangeOutcome::RESULT_INVALID,
                "replica",
                "an id, an address and a disk incarnation, none of them the leader's, and 1 voter at least and 7 replicas at most afterwards");
        case RaftReplica::GroupChangeResult::Unchanged:
        case RaftReplica::GroupChangeResult::Appended:
            break;
        }
        term = this->replica->term();
        index = this->replica->log().configurationIndex();
    }
    if (!this->waitUntil([this, index] { return this->appliedIndex >= index; }, term, deadline)) {
        return replyWithoutOutcome(ControlMessages::ProposeReply::RESULT_UNKNOWN);
    }
    return replyWithResult(ControlMessages::ChangeOutcome::RESULT_ACCEPTED, "", "");
}

bool ControlGroup::waitUntil(const std::function<bool()> &condition, std::uint64_t term, SteadyTime deadline)
{
    std::unique_lock<std::mutex> lock(this->stateMutex);
    while (!condition()) {
        const SteadyTime now = std::chrono::steady_clock::now();
        if (now >= deadline || this->leadingTerm != term || this->stopping) {
            return false;
        }
        this->stateChanged.wait_until(lock, std::min(deadline, now + leadershipCheckInterval));
    }
    return true;
}

bool ControlGroup::isUpToDate() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    // Committed entries that aren't applied yet aren't in force on this VM.
    return this->replica->isUpToDate() && this->appliedIndex >= this->replica->committedIndex();
}

bool ControlGroup::isLeader(const std::string &address) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->replica->hasLeaderContact()) {
        return false;
    }
    const ControlMessages::Replica *leader = ReplicaGroup::find(this->replica->log().configuration(), this->replica->leaderId());
    return leader != nullptr && leader->address() == address;
}

void ControlGroup::logUndecided(const std::string &changeId) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    LOG(WARNING) << "Change " << changeId << " isn't decided in time in term " << this->replica->term() << ": "
                 << (this->replica->isLeading() ? "this VM leads" : "this VM doesn't lead any more") << ", last entry " << this->replica->log().lastIndex()
                 << ", committed " << this->replica->committedIndex() << ", applied " << this->appliedIndex << this->replica->describePeers();
}

bool ControlGroup::logContainsChange(const std::string &changeId) const
{
    const std::vector<ControlMessages::Entry> &entries = this->replica->log().entries();
    return std::any_of(entries.begin(), entries.end(), [this, &changeId](const ControlMessages::Entry &entry) {
        return entry.index() > this->appliedIndex && entry.change().change_id() == changeId;
    });
}

bool ControlGroup::logContainsRosterChangeAfter(std::uint64_t index) const
{
    const ReplicaLog &log = this->replica->log();
    // A snapshot that covers entries after the index may include a roster change.
    return index < log.snapshotIndex() || std::any_of(log.entries().begin(), log.entries().end(), [index](const ControlMessages::Entry &entry) {
        return entry.index() > index && isRosterChange(entry.change());
    });
}

ControlMessages::ProposeReply ControlGroup::notLeader() const
{
    ControlMessages::ProposeReply reply = replyWithoutOutcome(ControlMessages::ProposeReply::RESULT_NOT_LEADER);
    const ControlMessages::Replica *leader = ReplicaGroup::find(this->replica->log().configuration(), this->replica->leaderId());
    if (leader != nullptr && leader->id() != this->replica->id()) {
        reply.set_leader_address(leader->address());
    }
    return reply;
}

ControlMessages::StatusReply ControlGroup::localStatus() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const RaftReplica &own = *this->replica;
    ControlMessages::StatusReply reply;
    reply.set_id(own.id());
    if (own.isHalted()) {
        reply.set_role("halted");
    } else if (own.isLeading()) {
        reply.set_role("leader");
    } else if (!own.isVoting()) {
        reply.set_role("recovering");
    } else {
        reply.set_role(ReplicaGroup::hasVoter(own.log().configuration(), own.id(), own.diskIncarnation()) ? "follower" : "learner");
    }
    reply.set_term(own.term());
    reply.set_leader(own.leaderId());
    *reply.mutable_last() = own.log().last();
    reply.set_committed_index(own.committedIndex());
    reply.set_catalogue_version(this->catalogueVersion);
    reply.set_disk_incarnation(own.diskIncarnation());
    *reply.mutable_configuration() = own.log().configuration();
    return reply;
}

} // namespace Hyssophall
