#pragma once

#include "process/cataloguefile.h"
#include "process/control/configurationstatemachine.h"
#include "process/control/controlgroup.h"
#include "process/control/groupformation.h"
#include "process/control/posixdisk.h"
#include "process/fleet/fleetserver.h"
#include "process/relay/departurelog.h"
#include "process/relay/relayhub.h"
#include "process/relay/relaypeers.h"
#include "process/relay/relayservice.h"
#include "process/settings/settings.h"

#include <boost/leaf/result.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Hyssophall {

/// The part of a control VM in a fleet with relays: it runs a replica of the control log and a relay. Thread-safe.
class ControlNode
{
public:
    struct Hooks {
        RandomSource random;
    };

    /// Opens the fleet port and starts all threads. Errors: StorageError, FleetPortUnavailable.
    static boost::leaf::result<std::unique_ptr<ControlNode>> create(const Settings &settings, Hooks hooks);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Proposes a configuration to the control group. On true, the relays use it and this VM loads it from its copy on disk after a restart,
    /// unless writing the copy failed or took too long. False when the configuration was rejected or there was no decision by the deadline.
    bool putConfiguration(const CatalogueMessages::Configuration &configuration, SteadyTime deadline);

    /// Linearizable read: returns the configuration that was in force at some time during the call, or null when the control group didn't
    /// confirm one by the deadline.
    std::shared_ptr<const CatalogueMessages::Configuration> readConfiguration(SteadyTime deadline);

    /// Applies and forwards the registration of an instance. False when an instance leaves and too few relays confirm that by the deadline.
    bool registerInstance(const RelayMessages::Registration &registration, SteadyTime deadline);

    /// Marks the instance with this id as gone; the caller knows only the id. Returns false in the same case as registerInstance().
    bool removeInstance(const std::string &id, SteadyTime deadline);

    /// Whether the configuration in force has this service; true while there is no configuration.
    bool isServiceKnown(const std::string &name);

    RelayMessages::RelayStatus relayStatus();

    struct StreamCounts {
        /// VMs that are connected to this relay.
        std::size_t vms = 0;
        /// Streams of VMs that were refused since the start because too many came at once.
        std::uint64_t refused = 0;
    };
    StreamCounts streamCounts() const;

    /// RelayHub::largestTeamUse().
    double largestTeamUse();
    ControlMessages::StatusReply replicaStatus();

private:
    ControlNode(const Settings &settings, Hooks hooks);

    boost::leaf::result<void> start();
    void maintain();
    void reopenIfDiskRecovered();
    void loadCopy();
    void waitForCopy(std::uint64_t version, SteadyTime deadline);
    void saveCopy();
    GroupFormation::Observation view();
    /// Logs once a second why this VM's replica belongs to no control group.
    void reportFormation(const GroupFormation::Observation &observation);
    /// Logs once a second what the streams of this VM have cost.
    void reportActivity();
    void execute(const GroupFormation::Decision &decision);
    std::optional<ControlMessages::ChangeOutcome> propose(const CatalogueMessages::Change &change, const std::string &changeId, SteadyTime deadline);
    void applyConfiguration(const std::shared_ptr<const CatalogueMessages::Configuration> &configuration);
    /// Whether this VM's replica was up to date at the last check, which is a few milliseconds old at most.
    bool isReplicaUpToDate();
    RemoteChangeProposer::Hooks proposerHooks();

    const Settings settings;
    const Hooks hooks;
    const std::string ownAddress;
    SteadyTime startedAt;
    /// Earliest time of the next attempt to reopen a replica that a disk failure has halted. Used by the maintenance thread only.
    SteadyTime reopenDue;
    /// Earliest time of the next log message about the group's formation. Used by the maintenance thread only.
    SteadyTime formationReportDue;
    /// The same for the message about the streams, and the processor time up to the last one.
    SteadyTime activityReportDue;
    std::chrono::nanoseconds reportedProcessorTime{0};
    std::mutex mutex;
    std::condition_variable configurationChanged;
    std::shared_ptr<const CatalogueMessages::Configuration> configuration;
    /// The last configuration that was in force on this VM, on disk. Needed at a start, since the control log shows what is in force only once
    /// a leader is elected.
    const CatalogueFile configurationCopy;
    /// The last version that was written to the copy, or for which writing failed. Guarded by the mutex.
    std::uint64_t copiedVersion = 0;
    /// Number of VMs of the fleet according to the copy. Used by the maintenance thread only once the VM has started.
    std::uint32_t copiedVms = 0;
    std::atomic<ControlGroup *> group{nullptr};
    std::atomic<SteadyTime::rep> replicaCheckedAt{0};
    std::atomic<bool> replicaUpToDate{false};
    std::unique_ptr<RelayHub> hub;
    PosixDisk departureDisk;
    /// Calls the hub from its thread, so it must end before the hub.
    std::unique_ptr<DepartureLog> departures;
    std::unique_ptr<RelayPeers> peers;
    std::unique_ptr<RelayService> relayService;
    std::unique_ptr<ConfigurationStateMachine> machine;
    std::shared_ptr<ControlClients> clients;
    std::unique_ptr<ControlGroup> ownedGroup;
    std::unique_ptr<RemoteChangeProposer> proposer;
    std::unique_ptr<FleetServer> server;
    std::atomic<bool> stopping{false};
    std::thread maintenanceThread;
};

} // namespace Hyssophall
