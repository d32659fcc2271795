#pragma once

#include "process/boundedring.h"
#include "process/control/controlclients.h"
#include "process/control/controlservice.h"
#include "process/control/controlstate.h"
#include "process/control/logstorage.h"
#include "process/control/peerlink.h"
#include "process/control/remotechangeproposer.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <thread>
#include <vector>

namespace Hyssophall {

/// A new group wasn't started. Returned by ControlGroup::bootstrap().
struct BootstrapError {
    enum class Reason {
        /// This VM isn't among the addresses, two of them belong to the same VM, or there are more than ReplicaGroup::maximumReplicas.
        InvalidAddresses,
        /// The VM at the address didn't reply to a status request within 1 s.
        Unreachable,
        /// The VM has a log already.
        NotEmpty,
        /// Not all VMs voted before the deadline; the group may still start.
        TimedOut,
    };
    Reason reason;
    std::string address;
};

/**
 * Runs the replica of this control VM: its threads, its connections to peers, and the proposal of changes through the log.
 *
 * One thread calls RaftReplica::tick(), one applies committed entries, and each peer has one that sends requests (two once a snapshot was sent).
 * The gRPC server that service() is registered on must be shut down before the destruction.
 */
class ControlGroup : public ChangeProposer
{
public:
    struct Hooks {
        /// Whether the last change of the roster, the list of the fleet's members, is in force on all serving VMs. Must be thread-safe and not call the group.
        std::function<bool()> isRosterApplied;
        RandomSource random;
        /// Called by the thread that applies entries whenever it has applied some, without a lock held; may be empty.
        std::function<void()> applied = nullptr;
    };

    /// Number of applied entries after which a snapshot replaces them in the log. A restart applies up to this many entries again, and each copies a
    /// table of the catalogue.
    static constexpr std::uint64_t compactionInterval = 200;

    /// Opens the data folder and starts the threads. @p stateMachine is used only by the thread that applies entries. Errors: StorageError.
    static boost::leaf::result<std::unique_ptr<ControlGroup>> create(const Settings &settings, StateMachine &stateMachine, Hooks hooks);
    ~ControlGroup() override;

    /// For grpc::ServerBuilder::RegisterService().
    grpc::Service &service();

    /// Starts a new group of the VMs with these fleet addresses (host:port). This VM must be one of them, and all logs must be empty. Errors: BootstrapError.
    boost::leaf::result<void> bootstrap(const std::vector<std::string> &addresses, SteadyTime deadline);

    /**
     * Restarts the replica after a storage failure with the state that the disk holds now. Does nothing if there was no failure.
     *
     * As after a start of the process, the replica recovers its acknowledged position from its peers before it votes. Must not be called by two
     * threads at once. Errors: StorageError, and the replica stays halted.
     */
    boost::leaf::result<void> reopen();

    /// Whether the state that this replica has applied is at most about one election timeout old.
    bool isUpToDate() const;

    /// Whether the replica at this fleet address leads the group, as far as this replica has heard within about one election timeout.
    bool isLeader(const std::string &address) const;

    boost::leaf::result<ControlMessages::ChangeOutcome> propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> putReplica(const ControlMessages::Replica &replica, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> removeReplica(const std::string &replicaId, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::StatusReply> status(SteadyTime deadline) override;

private:
    ControlGroup(const Settings &settings, StateMachine &stateMachine, Hooks hooks);

    boost::leaf::result<void> open();
    void startReplica(std::unique_ptr<LogStorage> opened);
    void startThreads();
    void tickUntilStopped();
    void applyUntilStopped();
    void applyCommitted();
    /// Replaces the log by a snapshot after compactionInterval applied entries.
    void compactIfDue();
    /// A copy of the committed entries after @p index, and of the log's snapshot if it covers later entries. Sets @p committed to the last index.
    ReplicaLog committedEntriesAfter(std::uint64_t index, std::uint64_t &committed);
    /// To be called with the mutex held after each call of the replica: updates leadingTerm and passes newly committed entries to the applying thread.
    void publishReplicaState();
    void send(const RaftReplica::Replica &peer, const RaftReplica::Request &request);

    ControlMessages::ProposeReply proposeLocally(const ControlMessages::ProposeRequest &request, SteadyTime deadline);
    ControlMessages::ProposeReply proposeCatalogueChange(const ControlMessages::CatalogueChange &change, SteadyTime deadline);
    ControlMessages::ProposeReply proposeGroupChange(const ControlMessages::ProposeRequest &request, SteadyTime deadline);
    bool logContainsChange(const std::string &changeId) const;
    bool logContainsRosterChangeAfter(std::uint64_t index) const;
    ControlMessages::ProposeReply notLeader() const;
    /// Logs how far the replicas are while a change isn't decided.
    void logUndecided(const std::string &changeId) const;
    bool waitUntil(const std::function<bool()> &condition, std::uint64_t leadingTerm, SteadyTime deadline);
    ControlMessages::StatusReply localStatus() const;
    RemoteChangeProposer::Hooks proposerHooks();
    boost::leaf::result<ControlMessages::GroupConfiguration> createInitialConfiguration(const std::vector<std::string> &addresses);

    const Settings settings;
    const Hooks hooks;
    const std::string ownAddress;
    std::shared_ptr<ControlClients> clients;
    std::unique_ptr<Disk> disk;
    std::unique_ptr<LogStorage> storage;

    /// Guards the replica and the links. Must not be locked while stateMutex is held.
    mutable std::mutex mutex;
    std::unique_ptr<RaftReplica> replica;
    /// Key: address of the peer, and whether the link is for snapshots.
    std::map<std::pair<std::string, bool>, std::unique_ptr<PeerLink>> links;
    std::uint64_t announcedCommitIndex = 0;
    /// Term in which this replica was last logged as the leader; 0 if it wasn't.
    std::uint64_t loggedLeadingTerm = 0;
    bool isHaltLogged = false;
    /// Replies to requests sent before this time belong to an earlier replica object and are dropped.
    SteadyTime replicaStartedAt;

    std::mutex stateMutex;
    std::condition_variable stateChanged;
    ControlState state;
    std::atomic<std::uint64_t> appliedIndex{0};
    std::atomic<std::uint64_t> catalogueVersion{0};
    /// Term in which this replica leads; 0 when it doesn't.
    std::atomic<std::uint64_t> leadingTerm{0};

    BoundedRing<std::uint64_t> commitQueue{64};
    std::atomic<bool> stopping{false};
    ControlService controlService;
    RemoteChangeProposer proposer;
    std::thread tickThread;
    std::thread applyThread;
};

} // namespace Hyssophall
