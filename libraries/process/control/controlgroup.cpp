#include "process/control/controlgroup.h"

#include "process/control/posixdisk.h"

#include <algorithm>
#include <glog/logging.h>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds peerStatusTimeout{1000};
constexpr std::chrono::milliseconds bootstrapRetry{1000};
constexpr std::chrono::milliseconds bootstrapPoll{20};
constexpr std::chrono::seconds applierWake{1};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

boost::leaf::error_id refused(BootstrapRefused::Reason reason, const std::string &address)
{
    return boost::leaf::new_error(BootstrapRefused{reason, address});
}

} // namespace

ControlGroup::ControlGroup(const Settings &settings, CatalogueMachine &catalogue, Hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
    , ownAddress(settings.listen.fleet.host + ":" + std::to_string(settings.listen.fleet.port))
    , clients(std::make_shared<ControlClients>(settings.fleet.secret))
    , disk(std::make_unique<PosixDisk>(settings.vm.dataFolder + "/control"))
    , state(catalogue)
    , controlService(ControlHandlers{[this](const RaftReplica::Request &request) {
                                         std::lock_guard<std::mutex> lock(this->mutex);
                                         const std::optional<RaftReplica::Reply> reply = this->replica->answer(request);
                                         this->afterReplicaCall();
                                         return reply;
                                     },
                         [this](const ControlMessages::ProposeRequest &request, SteadyTime deadline) { return this->decideHere(request, deadline); },
                         [this] { return this->statusHere(); }},
          settings.fleet.secret)
    , router(this->routeHooks())
{
}

ControlGroup::~ControlGroup()
{
    this->stopping = true;
    this->commits.close();
    if (this->ticker.joinable()) {
        this->ticker.join();
        this->applier.join();
    }
    std::map<std::pair<std::string, bool>, std::unique_ptr<PeerLink>> closing;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        closing.swap(this->links);
    }
    // The links' threads may be waiting for the mutex, so they are joined without it.
    closing.clear();
}

boost::leaf::result<std::unique_ptr<ControlGroup>> ControlGroup::create(const Settings &settings, CatalogueMachine &catalogue, Hooks hooks)
{
    std::unique_ptr<ControlGroup> group(new ControlGroup(settings, catalogue, std::move(hooks)));
    BOOST_LEAF_CHECK(group->open());
    group->startThreads();
    return group;
}

boost::leaf::result<void> ControlGroup::open()
{
    BOOST_LEAF_AUTO(opened, LogStorage::create(*this->disk, this->hooks.random));
    this->startReplica(std::move(opened));
    return {};
}

boost::leaf::result<void> ControlGroup::reopen()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->replica->isHalted()) {
            return {};
        }
    }
    // A replica that has halted no longer uses its storage, so the disk can be read without the mutex.
    BOOST_LEAF_AUTO(opened, LogStorage::create(*this->disk, this->hooks.random));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->startReplica(std::move(opened));
    LOG(INFO) << "control replica works again: " << this->settings.vm.dataFolder << " was read up to index " << this->replica->log().lastIndex() << " of term "
              << this->replica->term();
    this->reportedHalt = false;
    this->afterReplicaCall();
    return {};
}

void ControlGroup::startReplica(std::unique_ptr<LogStorage> opened)
{
    // The former replica refers to the former storage.
    this->replica.reset();
    this->storage = std::move(opened);
    this->replicaStartedAt = steadyNow();
    RaftReplica::Options options;
    options.id = this->settings.vm.id;
    options.heartbeatInterval = this->settings.control.heartbeatInterval;
    options.electionTimeout = this->settings.control.electionTimeout;
    options.recallGrace = this->settings.control.recallGrace;
    RaftReplica::Hooks replicaHooks{
        steadyNow, this->hooks.random, [this](const RaftReplica::Replica &peer, const RaftReplica::Request &request) { this->send(peer, request); }};
    this->replica = std::make_unique<RaftReplica>(options, replicaHooks, *this->storage, this->storage->takeStored());
}

void ControlGroup::startThreads()
{
    this->applier = std::thread([this] { this->applyUntilStopped(); });
    this->ticker = std::thread([this] { this->tickUntilStopped(); });
}

grpc::Service &ControlGroup::service()
{
    return this->controlService.service();
}

void ControlGroup::send(const RaftReplica::Replica &peer, const RaftReplica::Request &request)
{
    if (this->stopping) {
        return;
    }
    // A snapshot takes long to send at target size; on a link and a connection of its own it holds up no heartbeats.
    const bool snapshot = std::holds_alternative<ControlMessages::InstallSnapshotRequest>(request);
    std::unique_ptr<PeerLink> &link = this->links[{peer.address(), snapshot}];
    if (!link) {
        PeerLink::Hooks linkHooks;
        linkHooks.call = [client = std::make_shared<ControlClient>(peer.address(), this->settings.fleet.secret)](
                             const RaftReplica::Request &message, std::chrono::milliseconds timeout) { return client->call(message, timeout); };
        linkHooks.accept = [this](const RaftReplica::Replica &from, const RaftReplica::Request &sent, SteadyTime sentAt, const RaftReplica::Reply &reply) {
            std::lock_guard<std::mutex> lock(this->mutex);
            if (sentAt >= this->replicaStartedAt) {
                this->replica->accept(from, sent, sentAt, reply);
                this->afterReplicaCall();
            }
        };
        link = std::make_unique<PeerLink>(std::move(linkHooks), this->settings.control.electionTimeout);
    }
    link->send(peer, request);
}

void ControlGroup::tickUntilStopped()
{
    const std::chrono::milliseconds interval = std::max(std::chrono::milliseconds(1), this->settings.control.heartbeatInterval / 4);
    while (!this->stopping) {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->replica->tick();
            this->afterReplicaCall();
        }
        std::this_thread::sleep_for(interval);
    }
}

void ControlGroup::afterReplicaCall()
{
    this->leadingTerm = this->replica->isLeading() ? this->replica->term() : 0;
    if (this->replica->committedIndex() > this->announcedCommit && this->commits.tryPush(this->replica->committedIndex())) {
        this->announcedCommit = this->replica->committedIndex();
    }
    if (this->replica->isHalted() && !this->reportedHalt) {
        this->reportedHalt = true;
        LOG(ERROR) << "control replica stopped: a storage operation in " << this->settings.vm.dataFolder << " failed";
    }
}

void ControlGroup::applyUntilStopped()
{
    while (!this->stopping) {
        if (this->commits.popUntil(steadyNow() + applierWake)) {
            this->applyCommitted();
            this->compactIfDue();
        }
    }
}

ReplicaLog ControlGroup::committedSince(std::uint64_t index, std::uint64_t &committed)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const ReplicaLog &log = this->replica->log();
    committed = this->replica->committedIndex();
    ControlMessages::StateSnapshot base;
    if (index < log.snapshotIndex()) {
        base = log.snapshot();
    } else {
        base.mutable_last()->set_index(index);
        base.mutable_last()->set_term(log.termAt(index).value_or(0));
    }
    std::vector<ControlMessages::Entry> entries;
    for (std::uint64_t next = base.last().index() + 1; next <= committed; ++next) {
        entries.push_back(*log.find(next));
    }
    return ReplicaLog(base, std::move(entries));
}

void ControlGroup::applyCommitted()
{
    std::uint64_t committed = 0;
    const ReplicaLog log = this->committedSince(this->appliedIndex, committed);
    std::lock_guard<std::mutex> lock(this->stateMutex);
    if (!this->state.catchUp(log, committed)) {
        LOG(ERROR) << "control replica can't apply the snapshot at index " << log.snapshotIndex();
    }
    this->catalogueVersion = this->state.catalogueVersion();
    this->appliedIndex = this->state.appliedIndex();
    this->stateChanged.notify_all();
}

void ControlGroup::compactIfDue()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->appliedIndex < this->replica->log().snapshotIndex() + compactionInterval) {
            return;
        }
    }
    ControlMessages::StateSnapshot snapshot;
    {
        std::lock_guard<std::mutex> lock(this->stateMutex);
        snapshot = this->state.snapshot();
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    this->replica->compact(snapshot);
    this->afterReplicaCall();
}

boost::leaf::result<ControlMessages::GroupConfiguration> ControlGroup::firstConfiguration(const std::vector<std::string> &addresses)
{
    ControlMessages::GroupConfiguration configuration;
    std::set<std::string> ids;
    for (const std::string &address : addresses) {
        const std::optional<ControlMessages::StatusReply> found
            = address == this->ownAddress ? this->statusHere() : this->clients->at(address)->status(peerStatusTimeout);
        if (!found) {
            return refused(BootstrapRefused::Reason::Unreachable, address);
        }
        if (found->last().index() != 0 || found->configuration().replicas_size() != 0) {
            return refused(BootstrapRefused::Reason::NotEmpty, address);
        }
        if (!ids.insert(found->id()).second) {
            return refused(BootstrapRefused::Reason::WrongAddresses, address);
        }
        ControlMessages::Replica &replica = *configuration.add_replicas();
        replica.set_id(found->id());
        replica.set_address(address);
        replica.set_disk_incarnation(found->disk_incarnation());
    }
    if (ids.count(this->settings.vm.id) == 0 || ids.size() > ReplicaGroup::maximumReplicas) {
        return refused(BootstrapRefused::Reason::WrongAddresses, this->ownAddress);
    }
    return configuration;
}

boost::leaf::result<void> ControlGroup::bootstrap(const std::vector<std::string> &addresses, SteadyTime deadline)
{
    BOOST_LEAF_AUTO(configuration, this->firstConfiguration(addresses));
    SteadyTime campaignDue = steadyNow();
    while (steadyNow() < deadline) {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            if (this->replica->isLeading()) {
                return {};
            }
            if (steadyNow() >= campaignDue) {
                // Votes may be lost; a repeated campaign has a higher term.
                campaignDue = steadyNow() + bootstrapRetry;
                this->replica->bootstrap(configuration);
                this->afterReplicaCall();
            }
        }
        std::this_thread::sleep_for(bootstrapPoll);
    }
    return refused(BootstrapRefused::Reason::NotDecided, this->ownAddress);
}

} // namespace Hyssophall
