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

/// A new group can't be started. Source: ControlGroup::bootstrap().
struct BootstrapRefused {
    enum class Reason {
        /// This VM isn't among the addresses, or an address or id is named twice.
        WrongAddresses,
        Unreachable,
        /// The VM holds a log already.
        NotEmpty,
        /// Not all VMs agreed before the deadline; the group may still start.
        NotDecided,
    };
    Reason reason;
    std::string address;
};

/**
 * The replica of a control VM at work: its threads, its peers and the way of changes through the log.
 *
 * One thread ticks, one applies committed entries, and each peer has one that sends. Shut the server down before the destruction.
 */
class ControlGroup : public ChangeProposer
{
public:
    struct Hooks {
        /// Whether the last change of the roster is in force on all serving VMs. Thread-safe; must not call the group.
        std::function<bool()> isRosterSettled;
        RandomSource random;
    };

    /// Entries after which the log is replaced by a snapshot. A restart applies up to so many again, and each copies a table of the catalogue.
    static constexpr std::uint64_t compactionInterval = 200;

    /// Opens the data folder and starts the threads. @p catalogue is used by the applying thread alone. Errors: StorageFault.
    static boost::leaf::result<std::unique_ptr<ControlGroup>> create(const Settings &settings, CatalogueMachine &catalogue, Hooks hooks);
    ~ControlGroup() override;

    /// For grpc::ServerBuilder::RegisterService().
    grpc::Service &service();

    /// Starts a new group of the VMs with these fleet addresses, this VM among them; their logs must be empty. Errors: BootstrapRefused.
    boost::leaf::result<void> bootstrap(const std::vector<std::string> &addresses, SteadyTime deadline);

    /**
     * Takes up the replica's work again after a storage failure, from what the disk holds now; without a failure, nothing happens.
     *
     * As after a start of the process, the replica recalls its position before it votes. Not to be called by two threads at once.
     * Errors: StorageFault, and the replica stays silent.
     */
    boost::leaf::result<void> reopen();

    /// Whether what this replica has applied is at most about an election timeout old.
    bool isInTouch() const;

    boost::leaf::result<ControlMessages::ChangeOutcome> propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> putReplica(const ControlMessages::Replica &replica, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> removeReplica(const std::string &replicaId, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::StatusReply> status(SteadyTime deadline) override;

private:
    ControlGroup(const Settings &settings, CatalogueMachine &catalogue, Hooks hooks);

    boost::leaf::result<void> open();
    void startReplica(std::unique_ptr<LogStorage> opened);
    void startThreads();
    void tickUntilStopped();
    void applyUntilStopped();
    void applyCommitted();
    void compactIfDue();
    ReplicaLog committedSince(std::uint64_t index, std::uint64_t &committed);
    void afterReplicaCall();
    void send(const RaftReplica::Replica &peer, const RaftReplica::Request &request);

    ControlMessages::ProposeReply decideHere(const ControlMessages::ProposeRequest &request, SteadyTime deadline);
    ControlMessages::ProposeReply decideChange(const ControlMessages::CatalogueChange &change, SteadyTime deadline);
    ControlMessages::ProposeReply decideGroup(const ControlMessages::ProposeRequest &request, SteadyTime deadline);
    bool holdsChange(const std::string &changeId) const;
    bool holdsRosterChangeAfter(std::uint64_t index) const;
    ControlMessages::ProposeReply notLeader() const;
    bool waitUntil(const std::function<bool()> &condition, std::uint64_t leadingTerm, SteadyTime deadline);
    ControlMessages::StatusReply statusHere() const;
    RemoteChangeProposer::Hooks routeHooks();
    boost::leaf::result<ControlMessages::GroupConfiguration> firstConfiguration(const std::vector<std::string> &addresses);

    const Settings settings;
    const Hooks hooks;
    const std::string ownAddress;
    std::shared_ptr<ControlClients> clients;
    std::unique_ptr<Disk> disk;
    std::unique_ptr<LogStorage> storage;

    /// Guards the replica and the links. Never taken while stateMutex is held.
    mutable std::mutex mutex;
    std::unique_ptr<RaftReplica> replica;
    /// By address, and whether the link is for snapshots.
    std::map<std::pair<std::string, bool>, std::unique_ptr<PeerLink>> links;
    std::uint64_t announcedCommit = 0;
    bool reportedHalt = false;
    /// Replies to what was sent before aren't for the present replica.
    SteadyTime replicaStartedAt;

    std::mutex stateMutex;
    std::condition_variable stateChanged;
    ControlState state;
    std::atomic<std::uint64_t> appliedIndex{0};
    std::atomic<std::uint64_t> catalogueVersion{0};
    /// Term in which this replica leads; 0 when it doesn't.
    std::atomic<std::uint64_t> leadingTerm{0};

    BoundedRing<std::uint64_t> commits{64};
    std::atomic<bool> stopping{false};
    ControlService controlService;
    RemoteChangeProposer router;
    std::thread ticker;
    std::thread applier;
};

} // namespace Hyssophall
