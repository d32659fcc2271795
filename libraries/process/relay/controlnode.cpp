#include "process/relay/controlnode.h"

#include "process/control/diskprobe.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <ctime>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds maintenanceInterval{200};
constexpr std::chrono::milliseconds statusTimeout{300};
/// Time after the start of this VM in which other control VMs may still be starting. Until it is over, no incomplete group is formed and no
/// replica is replaced as lost. Control VMs of a fleet that starts for the first time come up within a second of each other.
constexpr std::chrono::seconds formationWait{3};
constexpr std::chrono::seconds bootstrapTimeout{2};
constexpr std::chrono::seconds joinTimeout{2};
/// Longest wait for the copy before a configuration is acknowledged. The log's majority has it already, so a slow disk must not delay the
/// acknowledgement any further.
constexpr std::chrono::milliseconds copyTimeout{200};
/// The copy is rewritten once the fleet has grown by this factor over the number of VMs in the copy.
constexpr double copyRewriteGrowth = 1.1;
/// Least time between two attempts to reopen the replica. Reading the whole log costs more than a test write, and each attempt on a corrupted
/// log is logged.
constexpr std::chrono::seconds reopenInterval{5};
constexpr std::chrono::milliseconds peerHeartbeat{250};
constexpr std::chrono::seconds formationReportInterval{1};
constexpr std::chrono::seconds activityReportInterval{1};
/// Each message to a VM contains whether the replica is up to date. Asking the replica takes its lock, which it holds while it writes to its disk.
constexpr std::chrono::milliseconds replicaCheckInterval{20};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

std::chrono::nanoseconds processorTimeOfProcess()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::string fleetAddress(const std::string &seed, unsigned short fleetPort)
{
    return seed.substr(0, seed.rfind(':')) + ":" + std::to_string(fleetPort);
}

std::string changeIdOf(const CatalogueMessages::Configuration &configuration)
{
    const std::uint64_t content = XXH64(configuration.document().data(), configuration.document().size(), 0);
    return "configuration-" + std::to_string(configuration.version()) + "-" + std::to_string(content);
}

} // namespace

ControlNode::ControlNode(const Settings &settings, Hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
    , ownAddress(settings.listen.fleet.address())
    , startedAt(steadyNow())
    , configuration(std::make_shared<const CatalogueMessages::Configuration>())
    , configurationCopy(settings.vm.dataFolder)
    , departureDisk(settings.vm.dataFolder + "/instances")
    , clients(std::make_shared<ControlClients>(settings.fleet.secret))
{
}

ControlNode::~ControlNode()
{
    this->stopping = true;
    this->configurationChanged.notify_all();
    if (this->maintenanceThread.joinable()) {
        this->maintenanceThread.join();
    }
    this->peers.reset();
    this->server.reset();
    this->proposer.reset();
    this->group = nullptr;
    this->ownedGroup.reset();
}

boost::leaf::result<std::unique_ptr<ControlNode>> ControlNode::create(const Settings &settings, Hooks hooks)
{
    std::unique_ptr<ControlNode> node(new ControlNode(settings, std::move(hooks)));
    BOOST_LEAF_CHECK(node->start());
    return node;
}

boost::leaf::result<void> ControlNode::start()
{
    RelayExchange::Timing peerTiming;
    peerTiming.heartbeat = peerHeartbeat;
    RelayHub::Options hubOptions;
    hubOptions.own.set_address(this->ownAddress);
    hubOptions.own.set_failure_domain(this->settings.vm.failureDomain);
    hubOptions.majority = this->settings.control.toleratedLosses + 1;
    hubOptions.board.random = this->hooks.random;
    hubOptions.clock = steadyNow;
    hubOptions.rateWindow = this->settings.bounds.rateWindow;
    DepartureLog::Hooks departureHooks;
    departureHooks.systemClock = std::chrono::system_clock::now;
    departureHooks.loaded = [this](const std::vector<RelayMessages::Registration> &registrations) { this->hub->restore(registrations); };
    departureHooks.stored = [this] { this->hub->departuresStored(); };
    this->departures = std::make_unique<DepartureLog>(this->departureDisk, std::move(departureHooks));
    hubOptions.departures = this->departures.get();
    RelayHub::Hooks hubHooks;
    hubHooks.isControlReplicaUpToDate = [this] { return this->isReplicaUpToDate(); };
    hubHooks.peerFound = [this](const std::shared_ptr<RelayPeer> &peer) { this->peers->add(peer); };
    this->hub = std::make_unique<RelayHub>(std::move(hubOptions), std::move(hubHooks));
    this->loadCopy();
    this->departures->start();
    this->peers = std::make_unique<RelayPeers>(*this->hub, this->settings.fleet.secret, peerTiming);
    this->relayService = std::make_unique<RelayService>(*this->hub, this->settings.fleet.secret, RelayExchange::Timing());
    this->machine = std::make_unique<ConfigurationStateMachine>(
        [this](const std::shared_ptr<const CatalogueMessages::Configuration> &next) { this->applyConfiguration(next); });
    ControlGroup::Hooks groupHooks;
    // A fleet with relays has no roster.
    groupHooks.isRosterApplied = [] { return true; };
    groupHooks.random = this->hooks.random;
    groupHooks.applied = [this] {
        // The result of the last check may be older than what was applied.
        this->replicaCheckedAt = 0;
        this->hub->announceCurrent();
    };
    BOOST_LEAF_ASSIGN(this->ownedGroup, ControlGroup::create(this->settings, *this->machine, groupHooks));
    this->group = this->ownedGroup.get();
    this->proposer = std::make_unique<RemoteChangeProposer>(this->proposerHooks());
    FleetServer::Options serverOptions;
    serverOptions.address = this->ownAddress;
    serverOptions.secret = this->settings.fleet.secret;
    serverOptions.otherServices = {&this->ownedGroup->service(), &this->relayService->service()};
    BOOST_LEAF_ASSIGN(this->server, FleetServer::create(serverOptions, FleetHandlers()));
    for (const std::string &seed : this->settings.relay.seeds) {
        RelayMessages::RelayAddress address;
        address.set_address(fleetAddress(seed, this->settings.listen.fleet.port));
        this->hub->addRelay(address);
    }
    this->maintenanceThread = std::thread([this] { this->maintain(); });
    return {};
}

bool ControlNode::isReplicaUpToDate()
{
    const SteadyTime::rep now = steadyNow().time_since_epoch().count();
    SteadyTime::rep checkedAt = this->replicaCheckedAt;
    if (SteadyTime::duration(now - checkedAt) >= replicaCheckInterval && this->replicaCheckedAt.compare_exchange_strong(checkedAt, now)) {
        ControlGroup *running = this->group;
        this->replicaUpToDate = running != nullptr && running->isUpToDate();
    }
    return this->replicaUpToDate;
}

RemoteChangeProposer::Hooks ControlNode::proposerHooks()
{
    RemoteChangeProposer::Hooks route;
    route.addresses = [this] {
        std::vector<std::string> addresses;
        for (const RelayMessages::RelayAddress &relay : this->hub->relays()) {
            addresses.push_back(relay.address());
        }
        return addresses;
    };
    route.propose = [this](const std::string &address, const ControlMessages::ProposeRequest &request, std::chrono::milliseconds timeout) {
        return this->clients->at(address)->propose(request, timeout);
    };
    route.status = [this](const std::string &address, std::chrono::milliseconds timeout) { return this->clients->at(address)->status(timeout); };
    route.isLeading = [this](const std::string &address) { return this->ownedGroup->isLeader(address); };
    route.now = steadyNow;
    route.sleep = [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); };
    return route;
}

void ControlNode::applyConfiguration(const std::shared_ptr<const CatalogueMessages::Configuration> &next)
{
    std::uint64_t previous = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        previous = this->configuration->version();
        if (next->version() <= previous) {
            // After a start, the log is replayed from entries that are older than the copy.
            return;
        }
        this->configuration = next;
    }
    this->configurationChanged.notify_all();
    this->hub->setConfiguration(next);
    LOG(INFO) << "Configuration " << next->version() << " is in force; the previous version was " << previous;
}

std::optional<ControlMessages::ChangeOutcome> ControlNode::propose(const CatalogueMessages::Change &change, const std::string &changeId, SteadyTime deadline)
{
    ControlMessages::CatalogueChange proposed;
    proposed.set_change_id(changeId);
    *proposed.mutable_change() = change;
    return boost::leaf::try_handle_all(
        [this, &proposed, deadline]() -> boost::leaf::result<std::optional<ControlMessages::ChangeOutcome>> {
            BOOST_LEAF_AUTO(outcome, this->proposer->propose(proposed, deadline));
            return std::optional<ControlMessages::ChangeOutcome>(outcome);
        },
        [&changeId](const ControlUnavailable &unavailable) -> std::optional<ControlMessages::ChangeOutcome> {
            LOG(WARNING) << "The control group didn't decide on " << changeId
                         << (unavailable.reason == ControlUnavailable::Reason::NoQuorum ? ": no quorum" : ": outcome unknown");
            return std::nullopt;
        },
        []() -> std::optional<ControlMessages::ChangeOutcome> { return std::nullopt; });
}

bool ControlNode::putConfiguration(const CatalogueMessages::Configuration &next, SteadyTime deadline)
{
    CatalogueMessages::Change change;
    *change.mutable_replace_configuration() = next;
    const std::optional<ControlMessages::ChangeOutcome> outcome = this->propose(change, changeIdOf(next), deadline);
    const bool isAccepted = outcome && outcome->result() == ControlMessages::ChangeOutcome::RESULT_ACCEPTED;
    if (isAccepted) {
        this->waitForCopy(next.version(), std::min(deadline, steadyNow() + copyTimeout));
    }
    return isAccepted;
}

void ControlNode::waitForCopy(std::uint64_t version, SteadyTime deadline)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->configurationChanged.wait_until(lock, deadline, [this, version] { return this->copiedVersion >= version; });
}

std::shared_ptr<const CatalogueMessages::Configuration> ControlNode::readConfiguration(SteadyTime deadline)
{
    CatalogueMessages::Change barrier;
    barrier.set_read_barrier(true);
    const std::optional<ControlMessages::ChangeOutcome> outcome = this->propose(barrier, "read-" + std::to_string(this->hooks.random()), deadline);
    if (!outcome || outcome->result() != ControlMessages::ChangeOutcome::RESULT_ACCEPTED) {
        return nullptr;
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    const bool isInForce
        = this->configurationChanged.wait_until(lock, deadline, [this, &outcome] { return this->configuration->version() >= outcome->version(); });
    return isInForce ? this->configuration : nullptr;
}

bool ControlNode::registerInstance(const RelayMessages::Registration &registration, SteadyTime deadline)
{
    const bool isLeaving = registration.state() != RelayMessages::REGISTRATION_STATE_READY;
    const std::optional<RelayMessages::Registration> known = this->hub->findInstance(registration.id());
    const bool isChange = !known || known->state() != registration.state() || known->started_at_milliseconds() != registration.started_at_milliseconds();
    if (isChange) {
        LOG(INFO) << "Instance " << registration.id() << " of service " << registration.service() << " at " << registration.host() << ":" << registration.port()
                  << " registers as " << RelayMessages::RegistrationState_Name(registration.state()) << " with sequence " << registration.sequence();
    }
    const bool done = this->hub->publish(registration, isLeaving, deadline);
    if (!done) {
        LOG(WARNING) << "Instance " << registration.id() << " leaves, but too few relays have confirmed it: " << this->hub->connectedPeers()
                     << " other relays are connected";
    }
    return done;
}

bool ControlNode::removeInstance(const std::string &id, SteadyTime deadline)
{
    RelayMessages::Registration gone;
    const std::optional<RelayMessages::Registration> known = this->hub->findInstance(id);
    if (known) {
        gone = *known;
    } else {
        // The start time of now ends all incarnations of this id that started earlier.
        const std::chrono::milliseconds now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        gone.set_id(id);
        gone.set_started_at_milliseconds(static_cast<std::uint64_t>(now.count()));
    }
    gone.set_state(RelayMessages::REGISTRATION_STATE_GONE);
    return this->registerInstance(gone, deadline);
}

bool ControlNode::isServiceKnown(const std::string &name)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const google::protobuf::RepeatedPtrField<CatalogueMessages::Service> &services = this->configuration->services();
    return this->configuration->version() == 0
        || std::any_of(services.begin(), services.end(), [&name](const CatalogueMessages::Service &service) { return service.name() == name; });
}

RelayMessages::RelayStatus ControlNode::relayStatus()
{
    return this->hub->status();
}

ControlNode::StreamCounts ControlNode::streamCounts() const
{
    return {this->hub->connectedVmCount(), this->relayService->refusedCount()};
}

double ControlNode::largestTeamUse()
{
    return this->hub->largestTeamUse();
}

ControlMessages::StatusReply ControlNode::replicaStatus()
{
    return boost::leaf::try_handle_all([this] { return this->ownedGroup->status(steadyNow()); }, [] { return ControlMessages::StatusReply(); });
}

void ControlNode::maintain()
{
    while (!this->stopping) {
        this->reopenIfDiskRecovered();
        this->saveCopy();
        const GroupFormation::Observation observation = this->view();
        this->reportFormation(observation);
        this->reportActivity();
        this->execute(GroupFormation::decide(observation));
        std::unique_lock<std::mutex> lock(this->mutex);
        this->configurationChanged.wait_for(
            lock, maintenanceInterval, [this] { return this->stopping || this->configuration->version() > this->copiedVersion; });
    }
}

void ControlNode::loadCopy()
{
    boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(snapshot, this->configurationCopy.read());
            this->copiedVersion = snapshot.configuration().version();
            this->copiedVms = snapshot.known_vms();
            this->hub->expectVms(this->copiedVms);
            this->applyConfiguration(std::make_shared<const CatalogueMessages::Configuration>(snapshot.configuration()));
            return {};
        },
        [](const CatalogueFileError &error) {
            if (error.reason != CatalogueFileError::Reason::Missing) {
                LOG(WARNING) << "Can't read the copy of the configuration at " << error.file << "; waiting for the control log";
            }
        },
        [] { LOG(WARNING) << "Can't read the copy of the configuration; waiting for the control log"; });
}

void ControlNode::saveCopy()
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_known_vms(this->hub->status().known_vms());
    const bool hasGrown = snapshot.known_vms() > copyRewriteGrowth * this->copiedVms;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->configuration->version() <= this->copiedVersion && !hasGrown) {
            return;
        }
        *snapshot.mutable_configuration() = *this->configuration;
    }
    boost::leaf::try_handle_all([this, &snapshot] { return this->configurationCopy.write(snapshot); },
        [](const CatalogueFileError &error) { LOG(WARNING) << "The copy of the configuration at " << error.file << " can't be written"; },
        [] { LOG(WARNING) << "Can't write the copy of the configuration"; });
    {
        // A failed write isn't retried: the log holds this version, and the next one is written in any case.
        std::lock_guard<std::mutex> lock(this->mutex);
        this->copiedVersion = snapshot.configuration().version();
    }
    this->copiedVms = snapshot.known_vms();
    this->configurationChanged.notify_all();
}

void ControlNode::reopenIfDiskRecovered()
{
    if (steadyNow() < this->reopenDue || this->replicaStatus().role() != "halted") {
        return;
    }
    // These are the operations that the log needs, so they fail while the disk is still full.
    PosixDisk disk(this->settings.vm.dataFolder + "/probe");
    if (!DiskProbe::isWritable(disk)) {
        // Not logged: the failure that halted the replica was logged when it occurred.
        return;
    }
    this->reopenDue = steadyNow() + reopenInterval;
    boost::leaf::try_handle_all([this] { return this->ownedGroup->reopen(); },
        [](const StorageError &fault) {
            LOG(WARNING) << "The disk is writable again, but " << fault.file
                         << (fault.kind == StorageError::Kind::Corrupted ? " is corrupted" : " can't be read");
        },
        [] { LOG(WARNING) << "The disk is writable again, but the control log can't be read"; });
}

GroupFormation::Observation ControlNode::view()
{
    GroupFormation::Observation groupView;
    groupView.own = this->replicaStatus();
    groupView.ownAddress = this->ownAddress;
    groupView.isFirstStart = this->settings.control.isFirstStart;
    groupView.groupSize = 2 * this->settings.control.toleratedLosses + 1;
    groupView.mayMoreVmsJoin = steadyNow() - this->startedAt < formationWait;
    std::vector<std::string> seeds;
    for (const std::string &seed : this->settings.relay.seeds) {
        seeds.push_back(fleetAddress(seed, this->settings.listen.fleet.port));
    }
    groupView.isFounder = !seeds.empty() && *std::min_element(seeds.begin(), seeds.end()) == this->ownAddress;
    if (ReplicaGroup::hasDisk(groupView.own.configuration(), groupView.own.id(), groupView.own.disk_incarnation())) {
        // This replica is a member already, so the other control VMs needn't be queried.
        return groupView;
    }
    for (const RelayMessages::RelayAddress &relay : this->hub->relays()) {
        if (relay.address() == this->ownAddress) {
            continue;
        }
        const std::optional<ControlMessages::StatusReply> status = this->clients->at(relay.address())->status(statusTimeout);
        if (status) {
            groupView.reachable.push_back(relay.address());
            if (status->role() == "leader") {
                groupView.leader = status;
            }
        }
    }
    return groupView;
}

void ControlNode::reportFormation(const GroupFormation::Observation &observation)
{
    const bool isMember = ReplicaGroup::hasDisk(observation.own.configuration(), observation.own.id(), observation.own.disk_incarnation());
    if (isMember || steadyNow() < this->formationReportDue) {
        return;
    }
    this->formationReportDue = steadyNow() + formationReportInterval;
    LOG(INFO) << "This VM's replica is in no control group yet; " << observation.reachable.size() + 1 << " of " << observation.groupSize
              << " control VMs are reachable, " << (observation.leader ? "one of them leads a group" : "none of them leads a group")
              << (observation.isFounder && observation.isFirstStart ? ", and this VM is to form it" : "");
}

void ControlNode::reportActivity()
{
    const SteadyTime now = steadyNow();
    if (now < this->activityReportDue) {
        return;
    }
    const std::chrono::duration<double> passed = now - std::max(this->startedAt, this->activityReportDue - activityReportInterval);
    this->activityReportDue = now + activityReportInterval;
    const std::chrono::nanoseconds processorTime = processorTimeOfProcess();
    const std::chrono::duration<double> used = processorTime - this->reportedProcessorTime;
    this->reportedProcessorTime = processorTime;
    const RelayHub::Activity activity = this->hub->takeActivity();
    LOG(INFO) << "In the last " << passed.count() << " s, this VM used " << used.count() << " s of processor time, received " << activity.messagesReceived
              << " messages from VMs and relays, sent " << activity.messagesSent << " and accepted " << activity.vmsConnected << " VMs; a message waited up to "
              << activity.longestWait.count() << " ms for the relay's state";
}

void ControlNode::execute(const GroupFormation::Decision &decision)
{
    switch (decision.step) {
    case GroupFormation::Step::Wait:
        return;
    case GroupFormation::Step::Bootstrap:
        LOG(INFO) << "Forming the control group of " << decision.addresses.size() << " VMs";
        boost::leaf::try_handle_all([this, &decision] { return this->ownedGroup->bootstrap(decision.addresses, steadyNow() + bootstrapTimeout); },
            [](const BootstrapError &refused) { LOG(WARNING) << "Can't form the control group yet because of " << refused.address; },
            [] { LOG(WARNING) << "Can't form the control group yet"; });
        return;
    case GroupFormation::Step::Remove:
        LOG(WARNING) << "Replica " << decision.lostReplica << " is lost; replacing it in the control group by this VM";
        boost::leaf::try_handle_all(
            [this, &decision]() -> boost::leaf::result<void> {
                BOOST_LEAF_CHECK(this->proposer->removeReplica(decision.lostReplica, steadyNow() + joinTimeout));
                return {};
            },
            [] { LOG(WARNING) << "The lost replica couldn't be removed from the control group; retrying"; });
        return;
    case GroupFormation::Step::Join:
        break;
    }
    const ControlMessages::StatusReply own = this->replicaStatus();
    ControlMessages::Replica replica;
    replica.set_id(own.id());
    replica.set_address(this->ownAddress);
    replica.set_disk_incarnation(own.disk_incarnation());
    LOG(INFO) << "Joining the control group with disk " << own.disk_incarnation();
    boost::leaf::try_handle_all(
        [this, &replica]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(this->proposer->putReplica(replica, steadyNow() + joinTimeout));
            return {};
        },
        [] { LOG(WARNING) << "Joining the control group failed; retrying"; });
}

} // namespace Hyssophall
