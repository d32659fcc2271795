#pragma once

#include "process/control/replicagroup.h"
#include "process/control/replicalog.h"
#include "process/control/replicastorage.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace Hyssophall {

/**
 * One replica of the control group: the decisions of Raft, without clock, network or disk of its own.
 *
 * Pre-vote keeps a replica that was cut off from raising terms. A leader steps down when a majority of the voters hasn't answered within
 * an election timeout, and a follower refuses votes for that long after it heard from a leader. Nothing is answered on the
 * ground of the lease alone: each decision is an entry of the log. After a failed storage operation, the replica is silent.
 *
 * Sources: Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4, 6.2 and 9.6. Not thread-safe.
 */
class RaftReplica
{
public:
    using Replica = ControlMessages::Replica;
    using Request = std::
        variant<ControlMessages::VoteRequest, ControlMessages::AppendRequest, ControlMessages::InstallSnapshotRequest, ControlMessages::RecallPositionRequest>;
    using Reply
        = std::variant<ControlMessages::VoteReply, ControlMessages::AppendReply, ControlMessages::InstallSnapshotReply, ControlMessages::RecallPositionReply>;

    enum class Role {
        Follower,
        Candidate,
        Leader,
    };

    struct Options {
        std::string id;
        std::chrono::milliseconds heartbeatInterval{100};
        std::chrono::milliseconds electionTimeout{600};
        /// How long a starting replica waits for the replicas beyond those that form a majority with it.
        std::chrono::milliseconds recallGrace{10000};
        std::size_t maximumBatchBytes = 256 * 1024;
    };

    struct Hooks {
        SteadyClock now;
        RandomSource random;
        /// Sends a request to a peer; its reply comes back through accept(). Messages may be lost, repeated and reordered.
        std::function<void(const Replica &, const Request &)> send;
    };

    enum class GroupChange {
        /// The configuration is in the log; it holds once its position is committed.
        Appended,
        /// The configuration holds already.
        Unchanged,
        NotLeader,
        /// Another change of the group isn't committed yet.
        Busy,
        Invalid,
    };

    RaftReplica(Options options, Hooks hooks, ReplicaStorage &storage, StoredReplica stored);

    /// Does what is due: elections, heartbeats, promotions. Call it several times in a heartbeat interval.
    void tick();

    /// Starts a new group, of which this replica becomes the first leader once all the others have voted for it.
    /// Returns false when this replica's log isn't empty or it isn't in the configuration.
    bool bootstrap(const ControlMessages::GroupConfiguration &configuration);

    /// Answers a request of a peer. Nothing after a storage failure.
    std::optional<Reply> answer(const Request &request);

    /// Takes a peer's reply to a request that was sent at @p sentAt.
    void accept(const Replica &peer, const Request &request, SteadyTime sentAt, const Reply &reply);

    /// Appends a change. Returns its position, or nothing when this replica doesn't lead. It holds once it is committed.
    std::optional<ControlMessages::Position> propose(const ControlMessages::CatalogueChange &change);

    /// Adds a replica as a learner; it is promoted when it has caught up.
    GroupChange putReplica(const Replica &replica);
    GroupChange removeReplica(const std::string &replicaId);

    /// Replaces the log up to a snapshot that was taken of applied entries.
    void compact(const ControlMessages::StateSnapshot &snapshot);

    /// Whether this replica leads, has heard from a majority within the election timeout, and has committed an entry of its term.
    bool isLeading() const;

    /// Whether this replica takes part in votes: it knows that its disk holds all that it acknowledged.
    bool isVoting() const;
    bool isHalted() const;

    /// Whether this replica leads with a majority, or heard from the leader within the election timeout and holds all that it had committed then.
    bool isInTouch() const;
    Role role() const;
    std::uint64_t term() const;
    std::uint64_t committedIndex() const;
    std::uint64_t diskIncarnation() const;
    const std::string &id() const;
    const std::string &leaderId() const;
    const ReplicaLog &log() const;

private:
    struct Progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        /// When the last request was sent that this peer has answered in this term.
        SteadyTime contact;
        std::optional<SteadyTime> snapshotSent;
    };

    ControlMessages::VoteReply answerVote(const ControlMessages::VoteRequest &request);
    ControlMessages::AppendReply answerAppend(const ControlMessages::AppendRequest &request);
    ControlMessages::InstallSnapshotReply answerSnapshot(const ControlMessages::InstallSnapshotRequest &request);
    ControlMessages::RecallPositionReply answerRecall(const ControlMessages::RecallPositionRequest &request) const;
    void acceptVote(const Replica &peer, const ControlMessages::VoteRequest &request, const ControlMessages::VoteReply &reply);
    void acceptAppend(const Replica &peer, const ControlMessages::AppendRequest &request, SteadyTime sentAt, const ControlMessages::AppendReply &reply);
    void acceptSnapshot(
        const Replica &peer, const ControlMessages::InstallSnapshotRequest &request, SteadyTime sentAt, const ControlMessages::InstallSnapshotReply &reply);
    void acceptRecall(const Replica &peer, const ControlMessages::RecallPositionReply &reply);

    // Elections.
    bool mayVoteFor(const ControlMessages::VoteRequest &request) const;
    bool hearsLeader() const;
    bool mayCampaign() const;
    void campaign(bool preVote);
    void requestVotes(bool preVote);
    void countVotes();
    void becomeLeader();
    void becomeFollower(std::uint64_t seenTerm);
    void followLeader(std::uint64_t leaderTerm, const std::string &leader);
    void delayElection();

    // Recall of the position at the start.
    void tickRecall();
    void finishRecallIfAnswered();
    void checkBehind();

    // The leader's duties.
    void tickLeader();
    void sendAppend(const Replica &peer);
    void sendAppends();
    Progress *countedPeer(const Replica &peer, std::uint64_t diskIncarnation, std::uint64_t requestTerm);
    void advanceCommit();
    void promoteLearner();
    bool hasMajorityContact() const;
    GroupChange changeGroup(const std::optional<ControlMessages::GroupConfiguration> &next);
    bool isGroupBusy() const;
    bool appendOwn(ControlMessages::Entry entry);

    // Storage.
    bool appendReceived(const ControlMessages::AppendRequest &request);
    std::uint64_t hintFor(std::uint64_t index) const;
    void remember(const std::string &replicaId, std::uint64_t diskIncarnation, std::uint64_t index);
    bool saveTerm(std::uint64_t newTerm, const std::string &vote);
    bool succeeded(const boost::leaf::result<void> &stored);

    const Options options;
    const Hooks hooks;
    ReplicaStorage &storage;
    ReplicaLog replicaLog;
    const std::uint64_t ownDisk;
    std::uint64_t currentTerm;
    std::string votedFor;
    std::uint64_t committed = 0;
    /// What the leader had committed when it was last heard.
    std::uint64_t leaderCommitted = 0;
    bool halted = false;

    Role currentRole = Role::Follower;
    std::string currentLeader;
    std::optional<SteadyTime> leaderContact;
    SteadyTime electionDue;

    bool preVoting = false;
    std::uint64_t campaignTerm = 0;
    std::set<std::string> votes;
    std::optional<ControlMessages::GroupConfiguration> bootstrapConfiguration;

    bool recalled = false;
    SteadyTime recallStarted;
    SteadyTime recallDue;
    std::set<std::string> recallAnswers;
    ControlMessages::Position recalledPosition;
    bool behind = false;
    /// Votes in lower terms may have been given by this disk and forgotten.
    std::uint64_t firstVotableTerm = 0;

    std::map<std::string, Progress> peers;
    SteadyTime heartbeatDue;
    /// What replicas with these disks are known to have stored: for RecallPosition.
    std::map<std::pair<std::string, std::uint64_t>, ControlMessages::Position> acknowledged;
};

} // namespace Hyssophall
