#include "fleetparts.h"

#include "eventlog.h"
#include "systemrandom.h"

#include "process/proxy/cataloguesnapshot.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::seconds announceTimeout{1};
constexpr std::chrono::seconds bootstrapTimeout{10};
constexpr double minimumInitialLimit = 4;
// The initial limit of a service is twice this VM's share of the slots, because not all VMs are busy at the same time.
constexpr double initialLimitPerShare = 2;

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

void reportCatalogueFileError(const CatalogueFileError &)
{
    LOG(WARNING) << "The catalogue file on disk can't be used; the catalogue is fetched from other VMs";
}

} // namespace

boost::leaf::result<std::unique_ptr<FleetParts>> FleetParts::create(const Settings &settings, CatalogueStore &store, Hooks hooks)
{
    std::unique_ptr<FleetParts> parts(new FleetParts(settings, store, std::move(hooks)));
    boost::leaf::result<void> started = parts->start();
    if (!started) {
        return started.error();
    }
    return parts;
}

FleetParts::FleetParts(const Settings &settings, CatalogueStore &store, Hooks hooks)
    : settings(settings)
    , store(store)
    , hooks(std::move(hooks))
    , incarnation(systemRandom() | 1U)
    , traffic(std::make_shared<FleetTraffic>())
{
}

FleetParts::~FleetParts()
{
    this->administration.reset();
    if (this->server != nullptr) {
        this->server->stop();
    }
    if (this->client != nullptr) {
        this->client->stop();
    }
    if (this->fleet != nullptr) {
        // Stopped before the members are destroyed: its threads call listeners of the records, and these use members that are destroyed before the fleet.
        this->fleet->stop();
    }
}

boost::leaf::result<void> FleetParts::start()
{
    if (!this->settings.vm.dataFolder.empty()) {
        this->keeper = std::make_unique<CatalogueKeeper>(this->settings.vm.dataFolder, this->store, reportCatalogueFileError);
    }
    this->client = std::make_unique<FleetClient>(this->settings.fleet.secret, this->traffic);
    this->createMembership();
    this->createQuorums();
    this->createHealth();
    boost::leaf::result<void> control = this->createControl();
    if (!control) {
        return control.error();
    }
    boost::leaf::result<void> servers = this->createServers();
    if (!servers) {
        return servers.error();
    }
    this->fleet->start();
    this->quorums->start();
    this->healthNode->start();
    return {};
}

void FleetParts::createMembership()
{
    FleetNode::Options options;
    options.core.self = {this->settings.vm.id, this->settings.listen.fleet.address(), this->incarnation};
    options.core.peers = this->settings.fleet.peers;
    options.gossipInterval = this->settings.fleet.gossipInterval;
    this->fleet = std::make_unique<FleetNode>(options, *this->client, CatalogueSource::of(this->store));
    this->fleet->installHandlers(this->handlers);
    // Gossips at once, because a withdrawn key should be refused within a second and the regular rounds take longer.
    this->store.addListener([this](const std::shared_ptr<const Catalogue> &) { this->fleet->requestGossipRound(); });
    logFleetEvents(this->store, this->fleet->records());
    this->settlement = RosterSettlement::create(this->store, this->fleet->members(), steadyNow, 2 * this->settings.fleet.servingLease);
}

void FleetParts::createQuorums()
{
    const CatalogueSource source = CatalogueSource::of(this->store);
    const FleetContext context{this->settings.vm.id, this->incarnation, steadyNow, systemRandom, source.roster, source.version, this->client.get()};
    QuorumNode::Options options;
    options.shardLease = this->settings.fleet.shardLease;
    options.servingLease = this->settings.fleet.servingLease;
    options.claimStore.retention = this->settings.claims.retention;
    options.claimStore.maximumOutcomeBytes = this->settings.claims.maximumBodyBytes;
    options.claims.retention = this->settings.claims.retention;
    options.claims.maximumBodyBytes = this->settings.claims.maximumBodyBytes;
    options.limits.maximumRateWait = this->settings.limits.rateWait;
    options.limits.maximumOwnerWait = this->settings.limits.ownerWait;
    const TeamLimitSource limits = [this](const std::string &team) -> std::optional<TeamLimit> {
        const std::shared_ptr<const CatalogueMessages::Team> entry = this->store.current()->findTeam(team);
        return entry == nullptr ? std::nullopt : std::optional<TeamLimit>(TeamLimit{entry->rate(), entry->burst()});
    };
    this->quorums = std::make_unique<QuorumNode>(context, options, this->fleet->members(), limits);
    this->quorums->setHandlers(this->handlers);
}

void FleetParts::createHealth()
{
    HealthMonitor::Options monitorOptions{
        this->settings.vm.failureDomain, steadyNow, systemRandom, [this](std::uint64_t fingerprint, const std::string &instance) {
            this->healthNode->reportCrash(fingerprint, instance);
        }};
    this->monitor = std::make_unique<HealthMonitor>(monitorOptions, this->fleet->records());
    this->fleet->records().addPoisonListener([this](std::uint64_t fingerprint, SteadyTime until) {
        this->monitor->markPoison(fingerprint, std::chrono::duration_cast<std::chrono::milliseconds>(until - steadyNow()));
    });
    HealthNode::Options options;
    options.memberId = this->settings.vm.id;
    options.clock = steadyNow;
    options.random = systemRandom;
    options.floorOf = [this](const std::string &service) { return this->floorOf(service); };
    options.publish = [this](const FleetMessages::Record &record) { this->fleet->publish(record); };
    this->healthNode
        = std::make_unique<HealthNode>(options, *this->monitor, this->fleet->records(), this->quorums->shardLeases(), this->fleet->members(), *this->client);
    this->handlers.reportOutcomes = [this](const FleetMessages::ReportOutcomesRequest &request) { return this->healthNode->handleReportOutcomes(request); };
    this->handlers.reportCrash = [this](const FleetMessages::ReportCrashRequest &request) { return this->healthNode->handleReportCrash(request); };
    FairCapacity::Options capacityOptions;
    capacityOptions.clock = steadyNow;
    capacityOptions.initialLimit = [this](const std::string &service) { return this->initialLimitOf(service); };
    this->fairCapacity = std::make_unique<FairCapacity>(capacityOptions);
}

boost::leaf::result<void> FleetParts::createControl()
{
    if (this->settings.vm.role != Role::Control) {
        this->proposer = RemoteChangeProposer::create(this->settings);
        return {};
    }
    CatalogueStateMachine::Hooks machineHooks;
    machineHooks.changed = [this](const CatalogueMessages::VersionedChange &change) {
        if (!this->store.advance({change})) {
            LOG(ERROR) << "Catalogue version " << change.version() << " is committed but can't be applied";
        }
    };
    machineHooks.replaced = [this](const CatalogueMessages::Snapshot &snapshot) {
        if (!this->store.replace(snapshot)) {
            LOG(ERROR) << "The catalogue snapshot with version " << snapshot.version() << " can't be used";
        }
    };
    this->machine = std::make_unique<CatalogueStateMachine>(machineHooks);
    ControlGroup::Hooks groupHooks;
    groupHooks.isRosterApplied = [this] { return this->settlement->isSettled(); };
    groupHooks.random = systemRandom;
    return boost::leaf::try_handle_some(
        [this, &groupHooks]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(created, ControlGroup::create(this->settings, *this->machine, groupHooks));
            this->group = created.get();
            this->proposer = std::move(created);
            return {};
        },
        [this](const StorageError &fault) -> boost::leaf::result<void> {
            if (fault.kind != StorageError::Kind::Corrupted) {
                return boost::leaf::new_error(fault);
            }
            // Serving callers doesn't need this replica, so the VM continues without it until an operator replaces the replica.
            LOG(ERROR) << "The control log in " << this->settings.vm.dataFolder << " is corrupted at " << fault.file
                       << "; this VM doesn't vote until its replica is replaced";
            this->proposer = RemoteChangeProposer::create(this->settings);
            return {};
        });
}

boost::leaf::result<void> FleetParts::createServers()
{
    FleetServer::Options options;
    options.address = this->settings.listen.fleet.address();
    options.secret = this->settings.fleet.secret;
    options.traffic = this->traffic;
    if (this->group != nullptr) {
        options.otherServices.push_back(&this->group->service());
    }
    BOOST_LEAF_ASSIGN(this->server, FleetServer::create(options, this->handlers));
    Administration::Configuration configuration;
    configuration.vm = {this->settings.vm.id, this->settings.listen.fleet.address(), this->settings.vm.failureDomain, this->incarnation};
    configuration.operators = this->settings.operators;
    configuration.servingLeaseExpiry = 2 * this->settings.fleet.servingLease;
    this->api = std::make_unique<Administration::AdministrationApi>(this->administrationHooks(), configuration);
    BOOST_LEAF_ASSIGN(this->administration,
        Administration::AdministrationServer::create([this](const Administration::HttpRequest &request) { return this->api->handle(request); },
            this->settings.listen.administration,
            this->settings.listen.maximumConnections));
    return {};
}

Administration::Hooks FleetParts::administrationHooks()
{
    Administration::Hooks result;
    result.store = &this->store;
    result.proposer = this->proposer.get();
    result.members = &this->fleet->members();
    result.instances = &this->fleet->records();
    result.clock = steadyNow;
    result.metricsText = [this] { return this->hooks.metricsText() + this->traffic->text(); };
    result.readiness = [this] { return this->readiness(); };
    result.announce = [this](const FleetMessages::AnnounceRequest &request) { return this->fleet->announce(request, steadyNow() + announceTimeout); };
    result.bootstrap = [this](const ControlMessages::GroupConfiguration &configuration) { return this->bootstrap(configuration); };
    return result;
}

Administration::BootstrapResult FleetParts::bootstrap(const ControlMessages::GroupConfiguration &configuration)
{
    if (this->group == nullptr) {
        return Administration::BootstrapResult::NotControl;
    }
    std::vector<std::string> addresses;
    for (const ControlMessages::Replica &replica : configuration.replicas()) {
        addresses.push_back(replica.address());
    }
    if (addresses.empty()) {
        addresses = this->settings.control.replicas;
    }
    return boost::leaf::try_handle_all(
        [this, &addresses]() -> boost::leaf::result<Administration::BootstrapResult> {
            boost::leaf::result<void> done = this->group->bootstrap(addresses, steadyNow() + bootstrapTimeout);
            if (!done) {
                return done.error();
            }
            return Administration::BootstrapResult::Done;
        },
        [](const BootstrapError &error) {
            LOG(WARNING) << "The control group's bootstrap was refused at " << error.address;
            return error.reason == BootstrapError::Reason::NotEmpty ? Administration::BootstrapResult::AlreadyBootstrapped
                                                                    : Administration::BootstrapResult::Failed;
        },
        [] { return Administration::BootstrapResult::Failed; });
}

double FleetParts::initialLimitOf(const std::string &service)
{
    double slots = 0;
    for (const KnownInstance &known : *this->fleet->records().instances(service)) {
        slots += known.instance.slots();
    }
    const double vms = static_cast<double>(std::max<std::size_t>(1, this->fleet->members().liveMembers().size()));
    return std::max(minimumInitialLimit, initialLimitPerShare * slots / vms);
}

CapacityFloor FleetParts::floorOf(const std::string &service) const
{
    const std::shared_ptr<const CatalogueMessages::Service> entry = this->store.current()->findService(service);
    // Without a catalogue entry the floor is unknown, so it is 100 % and no instance may be ejected.
    return entry == nullptr ? CapacityFloor{1000, 0} : CapacityFloor{entry->floor_per_mille(), entry->floor_count()};
}

CatalogueLookupSource FleetParts::catalogue()
{
    return [this] { return std::make_shared<CatalogueSnapshot>(this->store.current()); };
}

RequestObserver *FleetParts::observer()
{
    return nullptr;
}

RetryLimiter &FleetParts::retries()
{
    return this->retryBudget;
}

ServingLease &FleetParts::servingLease()
{
    return this->quorums->servingLease();
}

RateLimiter &FleetParts::rateLimiter()
{
    return this->quorums->rateLimiter();
}

ClaimCoordinator &FleetParts::claims()
{
    return this->quorums->claimCoordinator();
}

CapacityQueue &FleetParts::capacity()
{
    return *this->fairCapacity;
}

InstanceHealth &FleetParts::health()
{
    return *this->monitor;
}

Administration::Readiness FleetParts::readiness()
{
    if (!this->hooks.isAcceptingCallers()) {
        return {false, "shutting_down"};
    }
    if (!this->quorums->servingLease().isHeld()) {
        return {false, "vm_isolated"};
    }
    return {true, ""};
}

void FleetParts::addGauges(RequestMetrics &metrics)
{
    metrics.addGauge(
        "hyssophall_catalogue_version", "Version of the catalogue in force.", [this] { return static_cast<double>(this->store.current()->version()); });
    metrics.addGauge("hyssophall_serving_lease_held", "1 while this VM may serve requests that need a key.", [this] {
        return this->quorums->servingLease().isHeld() ? 1.0 : 0.0;
    });
    metrics.addGauge("hyssophall_live_members", "Members of the roster that seem alive from this VM.", [this] {
        return static_cast<double>(this->fleet->members().liveMembers().size());
    });
    metrics.addGauge("hyssophall_roster_members", "Members of the roster in force.", [this] {
        return static_cast<double>(this->store.current()->roster().members().size());
    });
    metrics.addGauge("hyssophall_recovering_claim_groups", "Groups of idempotency keys that this VM doesn't vote on yet.", [this] {
        return static_cast<double>(this->quorums->recoveringClaimGroups());
    });
}

void FleetParts::leave()
{
    this->quorums->stop();
    this->fleet->leave();
}

} // namespace Hyssophall
