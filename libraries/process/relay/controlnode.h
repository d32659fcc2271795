#pragma once

#include "process/cataloguefile.h"
#include "process/control/configurationstatemachine.h"
#include "process/control/controlgroup.h"
#include "process/control/groupformation.h"
#include "process/fleet/fleetserver.h"
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

/// A control VM's part in a relayed fleet: a replica of the control log, and a relay. Thread-safe.
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

    /// Has a configuration decided; it is in force on the relays when this returns true, and this VM serves it after a start. False when no
    /// decision came by the deadline.
    bool putConfiguration(const CatalogueMessages::Configuration &configuration, SteadyTime deadline);

    /// The configuration that was in force at some time during the call; nothing when that can't be told by the deadline.
    std::shared_ptr<const CatalogueMessages::Configuration> readConfiguration(SteadyTime deadline);

    /// Takes the registration of an instance. False when a leaving instance isn't known to enough relays by the deadline.
    bool registerInstance(const RelayMessages::Registration &registration, SteadyTime deadline);

    /// Takes the end of an instance, which names only itself. False as for registerInstance().
    bool removeInstance(const std::string &id, SteadyTime deadline);

    /// Whether the configuration in force has this service; true before there is one.
    bool isServiceKnown(const std::string &name);

    RelayMessages::RelayStatus relayStatus();

    /// RelayHub::largestTeamUse().
    double largestTeamUse();
    ControlMessages::StatusReply replicaStatus();

private:
    ControlNode(const Settings &settings, Hooks hooks);

    boost::leaf::result<void> start();
    void keepInGroup();
    void reopenIfDiskIsBack();
    void startFromCopy();
    void awaitCopy(std::uint64_t version, SteadyTime deadline);
    void keepCopy();
    GroupFormation::Observation view();
    void carryOut(const GroupFormation::Decision &decision);
    std::optional<ControlMessages::ChangeOutcome> propose(const CatalogueMessages::Change &change, const std::string &changeId, SteadyTime deadline);
    void takeConfiguration(const std::shared_ptr<const CatalogueMessages::Configuration> &configuration);
    RemoteChangeProposer::Hooks proposerHooks();

    const Settings settings;
    const Hooks hooks;
    const std::string ownAddress;
    SteadyTime startedAt;
    /// When a replica that a disk failure has silenced may be opened again. Used by the keeper alone.
    SteadyTime reopenDue;
    std::mutex mutex;
    std::condition_variable configurationChanged;
    std::shared_ptr<const CatalogueMessages::Configuration> configuration;
    /// A copy of the last configuration that was in force here: the log tells what is in force only once a leader is elected.
    const CatalogueFile copy;
    /// The last version that was written to the copy, or couldn't be. Guarded by the mutex.
    std::uint64_t copiedVersion = 0;
    /// VMs of the fleet by the copy. Used by the keeper alone once the VM has started.
    std::uint32_t copiedVms = 0;
    std::atomic<ControlGroup *> group{nullptr};
    std::unique_ptr<RelayHub> hub;
    std::unique_ptr<RelayPeers> peers;
    std::unique_ptr<RelayService> relayService;
    std::unique_ptr<ConfigurationStateMachine> machine;
    std::shared_ptr<ControlClients> clients;
    std::unique_ptr<ControlGroup> ownedGroup;
    std::unique_ptr<RemoteChangeProposer> proposer;
    std::unique_ptr<FleetServer> server;
    std::atomic<bool> stopping{false};
    std::thread keeper;
};

} // namespace Hyssophall
