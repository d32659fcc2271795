#pragma once

#include "process/administration/administrationapi.h"
#include "process/administration/administrationserver.h"
#include "process/cataloguekeeper.h"
#include "process/cataloguestore.h"
#include "process/control/cataloguestatemachine.h"
#include "process/control/controlgroup.h"
#include "process/fleet/fleetclient.h"
#include "process/fleet/fleetnode.h"
#include "process/fleet/fleetserver.h"
#include "process/fleet/quorumnode.h"
#include "process/health/healthmonitor.h"
#include "process/health/healthnode.h"
#include "process/limits/faircapacity.h"
#include "process/settings/settings.h"
#include "process/telemetry/requestmetrics.h"
#include "request/retrybudget.h"
#include "rostersettlement.h"
#include "vmparts.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Hyssophall {

/// This VM's components in a fleet without relays: membership, catalogue, leases, limits, claims, health, and on a control VM the control group's replica.
class FleetParts : public VmParts
{
public:
    struct Hooks {
        std::function<std::string()> metricsText;
        /// False once the process is shutting down. The VM is ready only if it also holds its serving lease.
        std::function<bool()> isAcceptingCallers;
    };

    /// Opens the fleet and administration ports and starts all threads. @p store must outlive the object.
    /// Errors: StorageError, FleetPortUnavailable, Administration::ServerNotStarted.
    static boost::leaf::result<std::unique_ptr<FleetParts>> create(const Settings &settings, CatalogueStore &store, Hooks hooks);

    /// Stops everything in the reverse order of its start.
    ~FleetParts() override;

    FleetParts(const FleetParts &) = delete;
    FleetParts &operator=(const FleetParts &) = delete;

    CatalogueLookupSource catalogue() override;
    ServingLease &servingLease() override;
    RateLimiter &rateLimiter() override;
    ClaimCoordinator &claims() override;
    CapacityQueue &capacity() override;
    InstanceHealth &health() override;
    RetryLimiter &retries() override;
    RequestObserver *observer() override;

    /// Whether load balancers may send callers to this VM, as /ready reports it.
    Administration::Readiness readiness();

    void addGauges(RequestMetrics &metrics) override;

    /// Returns tokens and leases to the fleet and announces the leave by gossip.
    void leave() override;

private:
    FleetParts(const Settings &settings, CatalogueStore &store, Hooks hooks);

    boost::leaf::result<void> start();
    void createMembership();
    void createQuorums();
    void createHealth();
    boost::leaf::result<void> createControl();
    boost::leaf::result<void> createServers();
    Administration::Hooks administrationHooks();
    Administration::BootstrapResult bootstrap(const ControlMessages::GroupConfiguration &configuration);
    double initialLimitOf(const std::string &service);
    CapacityFloor floorOf(const std::string &service) const;

    // In the order of creation, because later members use earlier ones and must be destroyed first.
    const Settings settings;
    CatalogueStore &store;
    const Hooks hooks;
    const std::uint64_t incarnation;
    std::unique_ptr<CatalogueKeeper> keeper;
    const std::shared_ptr<FleetTraffic> traffic;
    std::unique_ptr<FleetClient> client;
    std::unique_ptr<FleetNode> fleet;
    std::shared_ptr<RosterSettlement> settlement;
    std::unique_ptr<QuorumNode> quorums;
    std::unique_ptr<HealthMonitor> monitor;
    std::unique_ptr<HealthNode> healthNode;
    std::unique_ptr<FairCapacity> fairCapacity;
    RetryBudget retryBudget;
    std::unique_ptr<CatalogueStateMachine> machine;
    /// Null on an entry VM.
    ControlGroup *group = nullptr;
    std::unique_ptr<ChangeProposer> proposer;
    FleetHandlers handlers;
    std::unique_ptr<FleetServer> server;
    std::unique_ptr<Administration::AdministrationApi> api;
    std::unique_ptr<Administration::AdministrationServer> administration;
};

} // namespace Hyssophall
