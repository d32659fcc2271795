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
 * One replica of the control group: the Raft state machine. Clock, network and disk are injected.
 *
 * Pre-vote prevents a replica that was partitioned from raising the term. A leader steps down when a majority of the voters hasn't replied
 * within two election timeouts; after one, it isn't up to date and takes no proposals. A follower refuses votes until an election timeout has passed since the
 * leader's last message. This leader lease alone never justifies a reply to a client: each decision is an entry of the log. After a failed storage operation,
 * the replica halts: it sends nothing and answers no request.
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
        /// Time from its start that a replica waits for the position replies of all peers. After it, replies that form a majority together with the
        /// replica itself are enough to vote.
        std::chrono::milliseconds recallGrace{10000};
        std::size_t maximumBatchBytes = 256 * 1024;
    };

    struct Hooks {
        SteadyClock now;
        RandomSource random;
        /// Sends a request to a peer; its reply is passed to handleReply(). Messages may be lost, duplicated and reordered.
        std::function<void(const Replica &, const Request &)> send;
    };

    enum class GroupChangeResult {
        /// The configuration is in the log. It is decided once its position is committed.
        Appended,
        /// The group has this configuration already.
        Unchanged,
        NotLeader,
        /// An earlier change of the group, or this leader's first entry, isn't committed yet.
        ChangePending,
        Invalid,
    };

    RaftReplica(Options options, Hooks hooks, ReplicaStorage &storage, PersistentState stored);

    /// Runs timed work: elections, heartbeats, promotion of learners. To be called several times per heartbeat interval.
    void tick();

    /// Starts a new group; this replica becomes its first leader once all other replicas have voted for it.
    /// Returns false when this replica has halted, its log isn't empty or it isn't a voter of the configuration.
    bool bootstrap(const ControlMessages::GroupConfiguration &configuration);

    /// Returns the reply to a request of a peer, or nothing after a storage failure.
    std::optional<Reply> handleRequest(const Request &request);

    /// Processes a peer's reply to a request that was sent at @p sentAt.
    void handleReply(const Replica &peer, const Request &request, SteadyTime sentAt, const Reply &reply);

    /// Appends a change to the log. Returns its position, or nothing when this replica doesn't lead or its disk fails.
    /// The change is decided once the position is committed.
    std::optional<ControlMessages::Position> propose(const ControlMessages::CatalogueChange &change);

    /// Adds a replica as a learner. The leader makes it a voter once it holds all committed entries.
    GroupChangeResult putReplica(const Replica &replica);
    GroupChangeResult removeReplica(const std::string &replicaId);

    /// Replaces the entries that @p snapshot covers by the snapshot. It must cover committed entries only.
    void compact(const ControlMessages::StateSnapshot &snapshot);

    /// Whether this replica leads, got replies from a majority within the election timeout, and has committed an entry of its term.
    bool isLeading() const;

    /// Whether this replica may vote: its disk is known to hold all entries that it has acknowledged.
    bool isVoting() const;

    /// Whether a storage operation failed, or a leader contradicted a committed entry. A halted replica does nothing more.
    bool isHalted() const;

    /// Whether this replica leads with a majority, or got a message of the leader within the election timeout and has committed all entries
    /// that the leader had committed then.
    bool isUpToDate() const;
    Role role() const;
    std::uint64_t term() const;
    std::uint64_t committedIndex() const;
    std::uint64_t diskIncarnation() const;
    const std::string &id() const;
    const std::string &leaderId() const;
    /// Whether this replica has heard from a leader, or as the leader from a majority, within an election timeout.
    bool hasLeaderContact() const;
    /// For the log of a leader: how far each other replica is and how old the last request is that it has replied to.
    std::string describePeers() const;
    const ReplicaLog &log() const;

private:
    struct Progress {
        /// Index of the next entry to send to this peer.
        std::uint64_t nextIndex = 1;
        /// Highest index up to which the peer's log is known to equal the leader's.
        std::uint64_t matchIndex = 0;
        /// Time at which the last request was sent that this peer replied to in this term.
        SteadyTime lastContact;
        std::optional<SteadyTime> snapshotSentAt;
    };

    ControlMessages::VoteReply handleVoteRequest(const ControlMessages::VoteRequest &request);
    ControlMessages::AppendReply handleAppendRequest(const ControlMessages::AppendRequest &request);
    ControlMessages::InstallSnapshotReply handleSnapshotRequest(const ControlMessages::InstallSnapshotRequest &request);
    ControlMessages::RecallPositionReply handleRecallRequest(const ControlMessages::RecallPositionRequest &request) const;
    void handleVoteReply(const Replica &peer, const ControlMessages::VoteRequest &request, const ControlMessages::VoteReply &reply);
    void handleAppendReply(const Replica &peer, const ControlMessages::AppendRequest &request, SteadyTime sentAt, const ControlMessages::AppendReply &reply);
    void handleSnapshotReply(
        const Replica &peer, const ControlMessages::InstallSnapshotRequest &request, SteadyTime sentAt, const ControlMessages::InstallSnapshotReply &reply);
    void handleRecallReply(const Replica &peer, const ControlMessages::RecallPositionReply &reply);

    // Elections.
    bool mayVoteFor(const ControlMessages::VoteRequest &request) const;
    /// Tells a candidate of a term in which this replica may not vote that there were later ones.
    void reportFirstVotableTerm(const ControlMessages::VoteRequest &request, ControlMessages::VoteReply &reply) const;
    /// Whether the leader's last message, or as a leader a majority's replies, are newer than an election timeout.
    bool mayCampaign() const;
    void campaign(bool preVote);
    void requestVotes(bool preVote);
    void countVotes();
    void becomeLeader();
    void becomeFollower(std::uint64_t seenTerm);
    void followLeader(std::uint64_t leaderTerm, const std::string &leader);
    void delayElection();

    // Recovery of the acknowledged position after a start: the peers are asked what this replica had acknowledged to them.
    void tickRecall();
    /// Ends the recovery once enough peers have replied, or when the grace period is over and a majority has.
    void completeRecallIfSufficient();
    void updateMissingAcknowledged();

    // Work of the leader.
    void tickLeader();
    void sendAppend(const Replica &peer);
    void sendAppends();
    /// Progress of the peer, or null when its reply is for an earlier term or from a disk that isn't in the configuration.
    Progress *currentProgressOf(const Replica &peer, std::uint64_t diskIncarnation, std::uint64_t requestTerm);
    void advanceCommit();
    void promoteLearner();
    /// Whether a majority, this replica included, has replied to a request that was sent less than @p maximumAge ago.
    bool hasMajorityContact(std::chrono::milliseconds maximumAge) const;
    GroupChangeResult changeGroup(const std::optional<ControlMessages::GroupConfiguration> &next);
    bool isGroupChangePending() const;
    bool appendAsLeader(ControlMessages::Entry entry);

    // Storage.
    bool appendReceived(const ControlMessages::AppendRequest &request);
    /// Index from which the leader should retry after a mismatch at @p index.
    std::uint64_t conflictHint(std::uint64_t index) const;
    void recordAcknowledged(const std::string &replicaId, std::uint64_t diskIncarnation, std::uint64_t index);
    bool saveTerm(std::uint64_t newTerm, const std::string &vote);
    /// Returns whether a storage operation succeeded. Halts the replica if it failed.
    bool checkStored(const boost::leaf::result<void> &stored);

    const Options options;
    const Hooks hooks;
    ReplicaStorage &storage;
    ReplicaLog replicaLog;
    const std::uint64_t ownDiskIncarnation;
    std::uint64_t currentTerm;
    std::string votedFor;
    std::uint64_t committed = 0;
    /// Committed index in the leader's last message.
    std::uint64_t leaderCommittedIndex = 0;
    bool halted = false;

    Role currentRole = Role::Follower;
    std::string currentLeader;
    std::optional<SteadyTime> lastLeaderContact;
    /// Whether a leader has sent a message since this object was created. lastLeaderContact is also set at the start.
    bool hasHeardLeader = false;
    SteadyTime electionDue;

    bool preVoting = false;
    std::uint64_t campaignTerm = 0;
    std::set<std::string> votes;
    /// Configuration of the new group while this replica campaigns to start it.
    std::optional<ControlMessages::GroupConfiguration> bootstrapConfiguration;

    bool isRecallComplete = false;
    SteadyTime recallStarted;
    SteadyTime recallDue;
    std::set<std::string> recallReplies;
    /// Highest position that a peer knows this replica to have acknowledged.
    ControlMessages::Position recalledPosition;
    /// Whether the log ends before recalledPosition. Until the leader has sent the missing entries, this replica doesn't vote.
    bool isMissingAcknowledged = false;
    /// This replica may have voted in lower terms and lost the record, if its disk was restored from an older copy.
    std::uint64_t firstVotableTerm = 0;

    std::map<std::string, Progress> peers;
    SteadyTime heartbeatDue;
    /// Last position that each replica, by id and disk incarnation, is known to have stored. Returned by RecallPosition.
    std::map<std::pair<std::string, std::uint64_t>, ControlMessages::Position> acknowledged;
};

} // namespace Hyssophall
