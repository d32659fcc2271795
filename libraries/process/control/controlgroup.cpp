#include "process/control/controlgroup.h"

#include "process/control/posixdisk.h"

#include <algorithm>
#include <glog/logging.h>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds peerStatusTimeout{1000};
constexpr std::chrono::milliseconds bootstrapRetryInterval{1000};
constexpr std::chrono::milliseconds bootstrapPollInterval{20};
constexpr std::chrono::seconds applyWakeInterval{1};
/// Work of the group that takes longer than this is logged. It is a third of the election timeout's default.
constexpr std::chrono::milliseconds slowWork{200};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// Logs work that waited for the replica from @p arrivedAt to @p startedAt and has just ended, if it took long.
void logIfSlow(const char *work, SteadyTime arrivedAt, SteadyTime startedAt)
{
    const SteadyTime now = steadyNow();
    if (now - arrivedAt >= slowWork) {
        LOG(WARNING) << "control replica was slow: " << work << " waited "
                     << std::chrono::duration_cast<std::chrono::milliseconds>(startedAt - arrivedAt).count() << " ms for the replica and took "
                     << std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt).count() << " ms";
    }
}

boost::leaf::error_id bootstrapError(BootstrapError::Reason reason, const std::string &address)
{
    return boost::leaf::new_error(BootstrapError{reason, address});
}

} // namespace

ControlGroup::ControlGroup(const Settings &settings, StateMachine &stateMachine, Hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
    , ownAddress(settings.listen.fleet.host + ":" + std::to_string(settings.listen.fleet.port))
    , clients(std::make_shared<ControlClients>(settings.fleet.secret))
    , disk(std::make_unique<PosixDisk>(settings.vm.dataFolder + "/control"))
    , state(stateMachine)
    , controlService(ControlHandlers{[this](const RaftReplica::Request &request) {
                                         const SteadyTime arrivedAt = steadyNow();
                                         std::lock_guard<std::mutex> lock(this->mutex);
                                         const SteadyTime startedAt = steadyNow();
                                         const std::optional<RaftReplica::Reply> reply = this->replica->handleRequest(request);
                                         this->publishReplicaState();
                                         logIfSlow("handling a request of another replica", arrivedAt, startedAt);
                                         return reply;
                                     },
                         [this](const ControlMessages::ProposeRequest &request, SteadyTime deadline) { return this->proposeLocally(request, deadline); },
                         [this] { return this->localStatus(); }},
          settings.fleet.secret)
    , proposer(this->proposerHooks())
{
}

ControlGroup::~ControlGroup()
{
    this->stopping = true;
    this->commitQueue.close();
    if (this->tickThread.joinable()) {
        this->tickThread.join();
        this->applyThread.join();
    }
    std::map<std::pair<std::string, bool>, std::unique_ptr<PeerLink>> closing;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        closing.swap(this->links);
    }
    // The links' threads may be waiting for the mutex, so it must not be held while they are joined.
    closing.clear();
}

boost::leaf::result<std::unique_ptr<ControlGroup>> ControlGroup::create(const Settings &settings, StateMachine &stateMachine, Hooks hooks)
{
    std::unique_ptr<ControlGroup> group(new ControlGroup(settings, stateMachine, std::move(hooks)));
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
    // A halted replica no longer uses its storage, so the disk can be read without the mutex.
    BOOST_LEAF_AUTO(opened, LogStorage::create(*this->disk, this->hooks.random));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->startReplica(std::move(opened));
    LOG(INFO) << "control replica works again: " << this->settings.vm.dataFolder << " was read up to index " << this->replica->log().lastIndex() << " of term "
              << this->replica->term();
    this->isHaltLogged = false;
    this->publishReplicaState();
    return {};
}

void ControlGroup::startReplica(std::unique_ptr<LogStorage> opened)
{
    // The old replica holds a reference to the old storage, so it is destroyed first.
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
    this->replica = std::make_unique<RaftReplica>(options, replicaHooks, *this->storage, this->storage->takeLoadedState());
}

void ControlGroup::startThreads()
{
    this->applyThread = std::thread([this] { this->applyUntilStopped(); });
    this->tickThread = std::thread([this] { this->tickUntilStopped(); });
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
    // A snapshot of the target size takes long to send. It has a separate link and connection so that it doesn't delay heartbeats.
    const bool snapshot = std::holds_alternative<ControlMessages::InstallSnapshotRequest>(request);
    std::unique_ptr<PeerLink> &link = this->links[{peer.address(), snapshot}];
    if (!link) {
        PeerLink::Hooks linkHooks;
        linkHooks.call = [client = std::make_shared<ControlClient>(peer.address(), this->settings.fleet.secret)](
                             const RaftReplica::Request &message, std::chrono::milliseconds timeout) { return client->call(message, timeout); };
        linkHooks.handleReply = [this](const RaftReplica::Replica &from, const RaftReplica::Request &sent, SteadyTime sentAt, const RaftReplica::Reply &reply) {
            std::lock_guard<std::mutex> lock(this->mutex);
            if (sentAt >= this->replicaStartedAt) {
                this->replica->handleReply(from, sent, sentAt, reply);
                this->publishReplicaState();
            }
        };
        linkHooks.exchanged = [](const RaftReplica::Replica &to, const PeerLink::Durations &durations) {
            if (durations.total() >= slowWork) {
                LOG(WARNING) << "control replica was slow: a request to " << to.id() << " was queued for " << durations.queued.count() << " ms, "
                             << (durations.hasReply ? "replied to after " : "given up after ") << durations.call.count() << " ms, and the reply handled in "
                             << durations.handling.count() << " ms";
            }
        };
        PeerLink::Options linkOptions;
        linkOptions.timeout = this->settings.control.electionTimeout;
        linkOptions.longestHold = this->settings.control.heartbeatInterval;
        link = std::make_unique<PeerLink>(linkOptions, std::move(linkHooks));
    }
    link->send(peer, request);
}

void ControlGroup::tickUntilStopped()
{
    const std::chrono::milliseconds interval = std::max(std::chrono::milliseconds(1), this->settings.control.heartbeatInterval / 4);
    SteadyTime due = steadyNow();
    while (!this->stopping) {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            const SteadyTime startedAt = steadyNow();
            this->replica->tick();
            this->publishReplicaState();
            logIfSlow("timed work", due, startedAt);
        }
        due = steadyNow() + interval;
        std::this_thread::sleep_for(interval);
    }
}

void ControlGroup::publishReplicaState()
{
    this->leadingTerm = this->replica->isLeading() ? this->replica->term() : 0;
    if (this->leadingTerm != this->loggedLeadingTerm) {
        LOG(INFO) << (this->leadingTerm > 0 ? "This VM leads the control group in term " : "This VM no longer leads the control group; last in term ")
                  << (this->leadingTerm > 0 ? this->leadingTerm.load() : this->loggedLeadingTerm) << "; " << this->replica->committedIndex() << " of "
                  << this->replica->log().lastIndex() << " entries are committed" << (this->leadingTerm > 0 ? std::string() : this->replica->describePeers());
        this->loggedLeadingTerm = this->leadingTerm;
    }
    if (this->replica->committedIndex() > this->announcedCommitIndex && this->commitQueue.tryPush(this->replica->committedIndex())) {
        this->announcedCommitIndex = this->replica->committedIndex();
    }
    if (this->replica->isHalted() && !this->isHaltLogged) {
        this->isHaltLogged = true;
        LOG(ERROR) << "control replica stopped: a storage operation in " << this->settings.vm.dataFolder << " failed";
    }
}

void ControlGroup::applyUntilStopped()
{
    while (!this->stopping) {
        if (this->commitQueue.popUntil(steadyNow() + applyWakeInterval)) {
            this->applyCommitted();
            if (this->hooks.applied) {
                this->hooks.applied();
            }
            this->compactIfDue();
        }
    }
}

ReplicaLog ControlGroup::committedEntriesAfter(std::uint64_t index, std::uint64_t &committed)
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
    const ReplicaLog log = this->committedEntriesAfter(this->appliedIndex, committed);
    std::lock_guard<std::mutex> lock(this->stateMutex);
    if (!this->state.applyUpTo(log, committed)) {
        LOG(ERROR) << "control replica can't restore the snapshot at index " << log.snapshotIndex();
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
    this->publishReplicaState();
}

boost::leaf::result<ControlMessages::GroupConfiguration> ControlGroup::createInitialConfiguration(const std::vector<std::string> &addresses)
{
    ControlMessages::GroupConfiguration configuration;
    std::set<std::string> ids;
    for (const std::string &address : addresses) {
        const std::optional<ControlMessages::StatusReply> found
            = address == this->ownAddress ? this->localStatus() : this->clients->at(address)->status(peerStatusTimeout);
        if (!found) {
            return bootstrapError(BootstrapError::Reason::Unreachable, address);
        }
        if (found->last().index() != 0 || found->configuration().replicas_size() != 0) {
            return bootstrapError(BootstrapError::Reason::NotEmpty, address);
        }
        if (!ids.insert(found->id()).second) {
            return bootstrapError(BootstrapError::Reason::InvalidAddresses, address);
        }
        ControlMessages::Replica &replica = *configuration.add_replicas();
        replica.set_id(found->id());
        replica.set_address(address);
        replica.set_disk_incarnation(found->disk_incarnation());
    }
    if (ids.count(this->settings.vm.id) == 0 || ids.size() > ReplicaGroup::maximumReplicas) {
        return bootstrapError(BootstrapError::Reason::InvalidAddresses, this->ownAddress);
    }
    return configuration;
}

boost::leaf::result<void> ControlGroup::bootstrap(const std::vector<std::string> &addresses, SteadyTime deadline)
{
    BOOST_LEAF_AUTO(configuration, this->createInitialConfiguration(addresses));
    SteadyTime campaignDue = steadyNow();
    while (steadyNow() < deadline) {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            if (this->replica->isLeading()) {
                return {};
            }
            if (steadyNow() >= campaignDue) {
                // Votes may be lost; the next campaign has a higher term.
                campaignDue = steadyNow() + bootstrapRetryInterval;
                this->replica->bootstrap(configuration);
                this->publishReplicaState();
            }
        }
        std::this_thread::sleep_for(bootstrapPollInterval);
    }
    return bootstrapError(BootstrapError::Reason::TimedOut, this->ownAddress);
}

} // namespace Hyssophall
