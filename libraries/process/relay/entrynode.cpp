#include "process/relay/entrynode.h"

#include "process/relay/admissionmessages.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Hyssophall {

namespace {

constexpr double thousandths = 1000;
constexpr int firstServerError = 500;
/// A VM that starts together with the whole fleet gets its first configuration within this time. A VM without one after that is partitioned
/// from the relays.
constexpr std::chrono::milliseconds fleetStartTime{3000};
/// Least Retry-After for a request that is suspected to crash instances. A VM that has lost its relay connects to another one within this time.
constexpr std::chrono::milliseconds isolatedPoisonRetryAfter{500};
/// While a VM receives the updates of a smaller share of the fleet's VMs, they are too few to judge the instances by.
constexpr double minimumVisibleShare = 0.3;
/// An instance that a VM has had a response of within this time is working.
constexpr std::chrono::milliseconds recentSuccessAge{1000};
/// Longest wait of a request for the first configuration. After this wait, most requests can still be served within their target time.
constexpr std::chrono::milliseconds maximumStartWait{800};

InstanceSelector::Options boardOptions(const Settings &settings, const RandomSource &random)
{
    InstanceSelector::Options options;
    options.ownFailureDomain = settings.vm.failureDomain;
    options.crossDomainCost = static_cast<double>(settings.relay.crossDomainCost) / thousandths;
    options.crossDomainCostOfKilobyte = static_cast<double>(settings.relay.crossDomainCostOfKilobyte) / thousandths;
    options.random = random;
    options.grayStateChanged = [](const InstanceSelector::GrayStateChange &suspicion) {
        LOG(INFO) << "Instance " << suspicion.instance << " of service " << suspicion.service
                  << (suspicion.isGray ? " is suspected to be gray" : " is no longer suspected to be gray") << " at a probability of " << suspicion.probability
                  << " with " << suspicion.inFlight << " requests in flight";
    };
    return options;
}

SharedRateLimiter::Options limiterOptions(const Settings &settings)
{
    SharedRateLimiter::Options options;
    options.window = settings.bounds.rateWindow;
    options.overage = settings.bounds.rateOverage;
    options.slack = static_cast<double>(settings.bounds.rateSlack);
    return options;
}

SharedRetryBudget::Options retryOptions(const Settings &settings, SteadyTime startedAt)
{
    SharedRetryBudget::Options options;
    options.ratio = settings.bounds.retryRatio;
    options.slack = static_cast<double>(settings.bounds.retrySlack);
    options.window = settings.bounds.retryWindow;
    options.startTime = startedAt;
    return options;
}

/// Replaces the ports of the seeds, which serve other purposes, by the fleet port. Relays listen on it, and it is the same on all VMs.
std::vector<std::string> fleetAddresses(const std::vector<std::string> &seeds, unsigned short fleetPort)
{
    std::vector<std::string> addresses;
    for (const std::string &seed : seeds) {
        addresses.push_back(seed.substr(0, seed.rfind(':')) + ":" + std::to_string(fleetPort));
    }
    return addresses;
}

void setOutcome(RelayMessages::InstanceOutcomes &counts, TryOutcome outcome, std::chrono::microseconds latency)
{
    switch (outcome) {
    case TryOutcome::Answered:
        counts.set_succeeded(1);
        counts.set_latency_milliseconds(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(latency).count()));
        return;
    case TryOutcome::ServerError:
    case TryOutcome::TimedOut:
    case TryOutcome::ConnectionLost:
    case TryOutcome::AnswerIncomplete:
        counts.set_failed(1);
        return;
    case TryOutcome::Shed:
        counts.set_rejected(1);
        return;
    case TryOutcome::WrongInstance:
        counts.set_misaddressed(1);
        counts.set_unreachable(1);
        return;
    case TryOutcome::ConnectFailed:
        counts.set_unreachable(1);
        return;
    case TryOutcome::Neutral:
        counts.set_neutral(1);
        return;
    }
}

hyssophall::fleet::v1::Instance instanceOf(const RelayMessages::Registration &registration)
{
    hyssophall::fleet::v1::Instance instance;
    instance.set_id(registration.id());
    instance.set_service(registration.service());
    instance.set_host(registration.host());
    instance.set_port(registration.port());
    instance.set_failure_domain(registration.failure_domain());
    instance.set_incarnation(registration.started_at_milliseconds());
    return instance;
}

void logIdleInstances(const IdleInstances &idle, double visibleShare)
{
    LOG(INFO) << idle.idle << " of " << idle.ready << " instances of service " << idle.service << " got no request lately while a share of "
              << idle.unservedShare << " isn't served, at a visible share of " << visibleShare << ": failed " << idle.failed << ", unreachable "
              << idle.unreachable << ", full " << idle.full << ", restricted " << idle.restricted << ", costly " << idle.costly << "; " << idle.longestIdle
              << " for " << idle.longestIdleTime.count() << " ms";
}

RelayMessages::Registration incarnationOf(const hyssophall::fleet::v1::Instance &instance)
{
    RelayMessages::Registration registration;
    registration.set_id(instance.id());
    registration.set_started_at_milliseconds(instance.incarnation());
    return registration;
}

} // namespace

EntryNode::EntryNode(const Settings &settings, SteadyClock clock, RandomSource random)
    : settings(settings)
    , clock(std::move(clock))
    , startedAt(this->clock())
    , board(boardOptions(settings, random))
    , activeCatalogue(std::make_shared<const ConfiguredCatalogue>(std::make_shared<const CatalogueMessages::Configuration>()))
    , directory(settings.vm.id, settings.vm.failureDomain, random)
    , random(random)
    , paths({this->clock, [this](bool isPartitioned, std::size_t failedHosts) { this->pathStateChanged(isPartitioned, failedHosts); }})
{
    SharedRateLimiter::Hooks limiterHooks;
    limiterHooks.clock = suspendAwareNow;
    limiterHooks.deadlineClock = this->clock;
    limiterHooks.visibleShare = [this] { return this->relayUplink->visibleShare(); };
    limiterHooks.ownShare = [this] { return this->relayUplink->ownShare(); };
    limiterHooks.knowledgeAge = [this] { return this->relayUplink->knowledgeAge(); };
    limiterHooks.receivesUpdates = [this] { return this->relayUplink->receivesUpdates(); };
    limiterHooks.teamRate = [this](const std::string &name) {
        const std::shared_ptr<const CatalogueMessages::Team> team = this->catalogue()->findTeam(name);
        return team == nullptr ? TeamRate() : TeamRate{team->rate(), team->burst()};
    };
    limiterHooks.reportAdmission = [this](const std::string &team, bool isScarce) {
        RelayMessages::Update update;
        RelayMessages::TeamUse &use = *update.add_teams();
        use.set_team(team);
        use.set_admitted(1);
        use.set_scarce(isScarce);
        return this->relayUplink->send(update);
    };
    limiterHooks.random = random;
    this->limiter = std::make_unique<SharedRateLimiter>(limiterOptions(settings), std::move(limiterHooks));
    SharedRetryBudget::Hooks retryHooks;
    retryHooks.visibleShare = [this] { return this->relayUplink->visibleShare(); };
    retryHooks.ownShare = [this] { return this->relayUplink->ownShare(); };
    retryHooks.reportUse = [this](const std::string &service, std::uint32_t requests, std::uint32_t retried) {
        RelayMessages::Update update;
        RelayMessages::ServiceUse &use = *update.add_services();
        use.set_service(service);
        use.set_requests(requests);
        use.set_retries(retried);
        this->relayUplink->send(update);
    };
    this->retryBudget = std::make_unique<SharedRetryBudget>(retryOptions(settings, this->startedAt), std::move(retryHooks));
    RelayUplink::Options options;
    options.failureDomain = settings.vm.failureDomain;
    options.seeds = fleetAddresses(settings.relay.seeds, settings.listen.fleet.port);
    options.fleetSecret = settings.fleet.secret;
    RelayUplink::Hooks hooks;
    hooks.clock = suspendAwareNow;
    hooks.random = std::move(random);
    hooks.makeGreeting = [this](const std::function<void()> &dropQueuedAdmissions) { return this->greeting(dropQueuedAdmissions); };
    hooks.confirmed = [this](std::uint64_t number) { this->limiter->confirm(number); };
    hooks.replicated = [this](std::uint64_t number, SteadyTime sentAt) { this->limiter->confirmReplicated(number, sentAt); };
    hooks.limitVisibleShare = [this](SteadyTime from, double share) { this->limiter->limitVisibleShare(from, share); };
    hooks.recordVisibleShare = [this](SteadyTime from, SteadyTime to, double share) { this->limiter->recordVisibleShare(from, to, share); };
    hooks.receive = [this](const RelayMessages::Update &update) { this->receive(update); };
    hooks.isConfigured = [this] { return this->isServing(); };
    hooks.configurationVersion = [this] { return this->catalogue()->configuration().version(); };
    this->relayUplink = std::make_unique<RelayUplink>(std::move(options), std::move(hooks));
}

EntryNode::~EntryNode() = default;

std::shared_ptr<const ConfiguredCatalogue> EntryNode::catalogue() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->activeCatalogue;
}

RateLimiter &EntryNode::rateLimiter()
{
    return *this->limiter;
}

RetryLimiter &EntryNode::retries()
{
    return *this->retryBudget;
}

bool EntryNode::isServing() const
{
    return this->catalogue()->isLoaded();
}

void EntryNode::awaitConfiguration(SteadyTime deadline)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    const SteadyTime now = this->clock();
    if (this->activeCatalogue->isLoaded() || now >= this->startedAt + fleetStartTime) {
        return;
    }
    this->configured.wait_until(lock, std::min(deadline, now + maximumStartWait), [this] { return this->activeCatalogue->isLoaded(); });
}

const RelayUplink &EntryNode::uplink() const
{
    return *this->relayUplink;
}

bool EntryNode::isPartitionedFromInstances() const
{
    return this->paths.isPartitioned();
}

std::optional<hyssophall::fleet::v1::Instance> EntryNode::choose(const InstanceQuery &query)
{
    InstanceQuery completeQuery = query;
    const double visibleShare = this->relayUplink->visibleShare();
    completeQuery.receivesFleetOutcomes = visibleShare >= minimumVisibleShare;
    if (this->paths.isPartitioned()) {
        completeQuery.failureDomain = this->directory.nearestFailureDomain(this->clock());
    }
    RelayMessages::Update update;
    RelayMessages::InstanceOutcomes &counts = *update.add_outcomes();
    counts.set_started(1);
    hyssophall::fleet::v1::Instance instance;
    std::optional<IdleInstances> idle;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->board.setVisibleShare(visibleShare);
        idle = this->board.takeIdleInstances(query.service, this->clock());
        const std::optional<RelayMessages::Registration> chosen
            = this->board.choose(completeQuery, this->routeStatistics.responseBytes(query.route), this->clock());
        if (!chosen) {
            return std::nullopt;
        }
        counts.set_instance(InstanceTable::handleOf(*chosen));
        this->board.applyOwn(counts, this->clock());
        instance = instanceOf(*chosen);
    }
    if (idle) {
        logIdleInstances(*idle, visibleShare);
    }
    this->relayUplink->send(update);
    return instance;
}

std::optional<std::chrono::milliseconds> EntryNode::perTryTimeout(const std::string &route) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->routeStatistics.perTryTimeout(route);
}

void EntryNode::finish(const hyssophall::fleet::v1::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint)
{
    RelayMessages::Update update;
    RelayMessages::InstanceOutcomes &counts = *update.add_outcomes();
    counts.set_instance(InstanceTable::handleOf(incarnationOf(instance)));
    setOutcome(counts, outcome, latency);
    if (outcome == TryOutcome::ConnectFailed) {
        this->recordConnectFailed(instance);
    }
    this->judgeRequest(fingerprint, counts.instance(), outcome, latency, update);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->board.applyOwn(counts, this->clock());
    }
    if (outcome == TryOutcome::ConnectFailed) {
        this->connectFailures.add(counts.instance(), this->clock());
    } else {
        this->relayUplink->send(update);
    }
    this->reportConnectFailures();
}

void EntryNode::judgeRequest(
    std::uint64_t fingerprint, std::uint32_t instance, TryOutcome outcome, std::chrono::microseconds latency, RelayMessages::Update &update)
{
    const SteadyTime now = this->clock();
    if (outcome == TryOutcome::ConnectionLost) {
        for (const PoisonRequestDetector::Loss &loss : this->lostRequests.addOwnLoss(fingerprint, instance, now - latency, now)) {
            RelayMessages::LostRequest &lost = *update.add_lost_requests();
            lost.set_fingerprint(fingerprint);
            lost.set_instance(loss.instance);
            lost.set_round(loss.round);
        }
        return;
    }
    if (!this->lostRequests.holdsLosses()) {
        return;
    }
    const bool hasRun = outcome == TryOutcome::Answered || outcome == TryOutcome::ServerError;
    if (hasRun && this->lostRequests.addResponse(fingerprint, now)) {
        update.add_answered_requests(fingerprint);
    }
    if (hasRun || outcome == TryOutcome::Shed) {
        this->lostRequests.addInstanceResponses({instance}, now);
    }
}

void EntryNode::reportConnectFailures()
{
    const std::vector<PendingConnectFailures::Settled> settled
        = this->connectFailures.settle(this->paths.isPartitioned(), this->paths.lastConnected(), this->clock());
    if (settled.empty()) {
        return;
    }
    RelayMessages::Update update;
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const PendingConnectFailures::Settled &failure : settled) {
        RelayMessages::InstanceOutcomes &counts = *update.add_outcomes();
        counts.set_instance(failure.instance);
        if (failure.cause == PendingConnectFailures::Cause::Instance) {
            counts.set_unreachable(1);
        } else {
            counts.set_neutral(1);
            this->board.forgetUnreachable(failure.instance);
        }
    }
    this->relayUplink->send(update);
}

void EntryNode::connectionOpened(const hyssophall::fleet::v1::Instance &instance, SteadyTime at)
{
    this->recordConnected(instance.host(), at);
}

void EntryNode::recordConnected(const std::string &host, SteadyTime at)
{
    this->paths.recordConnected(host, at);
}

void EntryNode::pathStateChanged(bool isPartitioned, std::size_t failedHosts)
{
    if (isPartitioned) {
        LOG(WARNING) << "This VM is partitioned from all instances: connections to " << failedHosts << " hosts failed and none was established. "
                     << this->directory.count(this->clock()) << " other VMs can forward its requests";
    } else {
        LOG(INFO) << "This VM reaches instances again";
    }
    this->reportPresence();
    std::function<void(bool)> callback;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        callback = this->pathChanged;
    }
    if (callback) {
        callback(isPartitioned);
    }
}

void EntryNode::setPathChanged(std::function<void(bool isPartitioned)> callback)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->pathChanged = std::move(callback);
}

void EntryNode::setForwardingAddress(const std::string &host, std::uint16_t port)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->forwardingHost = host;
        this->forwardingPort = port;
    }
    this->reportPresence();
}

void EntryNode::clearForwardingAddress()
{
    this->setForwardingAddress(std::string(), 0);
}

VmDirectory &EntryNode::otherVms()
{
    return this->directory;
}

RelayMessages::VmPresence EntryNode::presence() const
{
    RelayMessages::VmPresence presence;
    presence.set_vm(this->settings.vm.id);
    presence.set_present(true);
    presence.set_failure_domain(this->settings.vm.failureDomain);
    presence.set_partitioned_from_instances(this->paths.isPartitioned());
    std::lock_guard<std::mutex> lock(this->mutex);
    presence.set_forwarding_host(this->forwardingHost);
    presence.set_forwarding_port(this->forwardingPort);
    return presence;
}

void EntryNode::reportPresence()
{
    RelayMessages::Update update;
    *update.add_vms() = this->presence();
    this->relayUplink->send(update);
}

bool EntryNode::takesRequests(const std::string &instanceId) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->board.takesRequests(instanceId, this->clock());
}

std::optional<std::chrono::milliseconds> EntryNode::shortestBackoff(const std::string &service) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->board.shortestBackoff(service, this->clock());
}

void EntryNode::noticedForOtherVm(const std::string &instanceId, const HttpResponse &response)
{
    hyssophall::fleet::v1::Instance instance;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const RelayMessages::Registration *registration = this->board.table().find(instanceId);
        if (registration == nullptr) {
            return;
        }
        instance = instanceOf(*registration);
    }
    this->noticed(instance, InstanceNotice(response, this->settings.headers));
}

std::optional<hyssophall::fleet::v1::Instance> EntryNode::randomInstance() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<const RelayMessages::Registration *> ready;
    for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->board.table().all()) {
        if (entry.second.state() == RelayMessages::REGISTRATION_STATE_READY) {
            ready.push_back(&entry.second);
        }
    }
    return ready.empty() ? std::nullopt : std::optional<hyssophall::fleet::v1::Instance>(instanceOf(*ready[this->random() % ready.size()]));
}

void EntryNode::connectFailedForOtherVm(const std::string &instanceId, std::chrono::microseconds latency)
{
    RelayMessages::Update update;
    RelayMessages::InstanceOutcomes &counts = *update.add_outcomes();
    counts.set_started(1);
    hyssophall::fleet::v1::Instance instance;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const RelayMessages::Registration *registration = this->board.table().find(instanceId);
        if (registration == nullptr) {
            return;
        }
        instance = instanceOf(*registration);
        counts.set_instance(InstanceTable::handleOf(*registration));
        this->board.applyOwn(counts, this->clock());
    }
    // The outcome that finish() reports ends a try, so its start is reported, too.
    this->relayUplink->send(update);
    this->finish(instance, TryOutcome::ConnectFailed, latency, 0);
}

void EntryNode::recordConnectFailed(const hyssophall::fleet::v1::Instance &instance)
{
    bool servesOthers = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        servesOthers = this->board.hasSucceededSince(InstanceTable::handleOf(incarnationOf(instance)), this->clock() - recentSuccessAge);
    }
    this->paths.recordConnectFailed(instance.host(), servesOthers);
}

void EntryNode::noticed(const hyssophall::fleet::v1::Instance &instance, const InstanceNotice &notice)
{
    if (notice.isLimitValid()) {
        this->limitNamed(instance, notice.requestsPerSecond());
    }
    if (notice.retryAfter()) {
        this->backoffRequested(instance, *notice.retryAfter());
    }
    if (notice.isLeaving()) {
        this->leavingSaid(instance);
    }
}

void EntryNode::leavingSaid(const hyssophall::fleet::v1::Instance &instance)
{
    bool isNew = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        isNew = this->board.setLeaving(InstanceTable::handleOf(incarnationOf(instance)));
    }
    if (isNew) {
        LOG(INFO) << "Instance " << instance.id() << " of service " << instance.service() << " says in a response that it is leaving";
    }
}

void EntryNode::backoffRequested(const hyssophall::fleet::v1::Instance &instance, std::chrono::milliseconds duration)
{
    bool isNew = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        isNew = this->board.addBackoff(InstanceTable::handleOf(incarnationOf(instance)), duration, this->clock());
    }
    if (isNew) {
        LOG(INFO) << "Instance " << instance.id() << " of service " << instance.service() << " wants no requests of this VM for " << duration.count() << " ms";
    }
}

void EntryNode::limitNamed(const hyssophall::fleet::v1::Instance &instance, std::optional<double> requestsPerSecond)
{
    RelayMessages::Update update;
    RelayMessages::InstanceOutcomes &outcomes = *update.add_outcomes();
    outcomes.set_instance(InstanceTable::handleOf(incarnationOf(instance)));
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->board.setLimit(outcomes.instance(), requestsPerSecond, this->clock())) {
            return;
        }
    }
    if (requestsPerSecond) {
        LOG(INFO) << "Instance " << instance.id() << " of service " << instance.service() << " names a limit of " << *requestsPerSecond
                  << " requests per second";
        outcomes.set_limit_thousandths(InstanceSelector::limitThousandths(requestsPerSecond));
    } else {
        LOG(INFO) << "Instance " << instance.id() << " of service " << instance.service() << " no longer names a limit";
        outcomes.set_limit_ended(true);
    }
    this->relayUplink->send(update);
}

bool EntryNode::isPoison(std::uint64_t fingerprint) const
{
    // Without a relay, this VM doesn't hear of the responses that withdraw losses.
    return this->lostRequests.judge(fingerprint, this->clock()).state == PoisonRequestDetector::State::Poison && this->relayUplink->receivesUpdates();
}

std::optional<std::chrono::milliseconds> EntryNode::poisonSuspicion(std::uint64_t fingerprint) const
{
    const PoisonRequestDetector::Judgement judgement = this->lostRequests.judge(fingerprint, this->clock());
    if (judgement.state == PoisonRequestDetector::State::Unsuspected) {
        return std::nullopt;
    }
    return std::max(judgement.remaining, isolatedPoisonRetryAfter);
}

std::string EntryNode::describePoison(std::uint64_t fingerprint) const
{
    const SteadyTime now = this->clock();
    const std::vector<PoisonRequestDetector::Loss> losses = this->lostRequests.standingLosses(fingerprint, now);
    std::map<std::uint32_t, std::string> names;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->board.table().all()) {
            names[InstanceTable::handleOf(entry.second)] = entry.first;
        }
    }
    std::string text;
    for (const PoisonRequestDetector::Loss &loss : losses) {
        const auto name = names.find(loss.instance);
        // An instance that has restarted has another handle.
        text += (text.empty() ? "" : ", ") + (name == names.end() ? "handle " + std::to_string(loss.instance) : name->second) + " round "
            + std::to_string(loss.round) + " age_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - loss.heardAt).count());
    }
    return text;
}

void EntryNode::requestFinished(const RequestRecord &record)
{
    const bool isPathFailure = record.refusal && record.refusal->code == RefusalCode::InstanceUnreachable && this->paths.isPartitioned();
    // The path of this VM says nothing about the instances of the service.
    if (record.service.empty() || isPathFailure) {
        return;
    }
    const bool isServed = !record.refusal && record.status < firstServerError;
    RelayMessages::Update update;
    RelayMessages::ServiceUse &use = *update.add_services();
    use.set_service(record.service);
    use.set_served(isServed ? 1 : 0);
    use.set_unserved(isServed ? 0 : 1);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->board.apply(use, this->clock());
        if (isServed && !record.tries.empty()) {
            this->routeStatistics.add(record.route, record.tries.back().duration, record.responseBytes);
        }
    }
    this->relayUplink->send(update);
}

std::string EntryNode::describeInstance(const std::string &instanceId) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->board.describeInstance(instanceId, this->clock());
}

RelayMessages::Update EntryNode::greeting(const std::function<void()> &dropQueuedAdmissions)
{
    RelayMessages::Update first;
    *first.mutable_admissions() = encodeAdmissions(this->limiter->record());
    UnreportedAdmissions unreported = this->limiter->collectUnreported(dropQueuedAdmissions);
    unreported.vm = this->settings.vm.id;
    *first.add_unreported() = encodeUnreported(unreported);
    std::lock_guard<std::mutex> lock(this->mutex);
    this->board.beginConnection();
    first.mutable_greeting()->set_vm(this->settings.vm.id);
    first.mutable_greeting()->set_failure_domain(this->settings.vm.failureDomain);
    first.mutable_greeting()->set_forwarding_host(this->forwardingHost);
    first.mutable_greeting()->set_forwarding_port(this->forwardingPort);
    first.mutable_greeting()->set_partitioned_from_instances(this->paths.isPartitioned());
    first.mutable_greeting()->set_configuration_version(this->activeCatalogue->configuration().version());
    // If all relays have restarted, they have no other source for instances that are leaving. The others register again by themselves.
    for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->board.table().all()) {
        if (entry.second.state() != RelayMessages::REGISTRATION_STATE_READY) {
            *first.add_registrations() = entry.second;
        }
    }
    return first;
}

void EntryNode::receive(const RelayMessages::Update &update)
{
    if (update.has_configuration()) {
        this->applyConfiguration(update.configuration());
    }
    this->applyInstanceUpdates(update);
    this->directory.apply(update);
    if (update.has_admissions()) {
        this->limiter->adopt(decodeAdmissions(update.admissions()));
    }
    for (const RelayMessages::UnreportedAdmissions &unreported : update.unreported()) {
        // A relay may send back what this VM has reported over another one.
        if (unreported.vm() != this->settings.vm.id) {
            this->limiter->addUnreported(decodeUnreported(unreported));
        }
    }
    for (const RelayMessages::TeamUse &use : update.teams()) {
        this->limiter->addRemoteAdmissions(use.team(), use.admitted());
    }
    const SteadyTime now = this->clock();
    for (const RelayMessages::ServiceUse &use : update.services()) {
        this->retryBudget->addRemoteUse(use.service(), use.requests(), use.retries(), now);
    }
    this->applyLostRequests(update);
}

void EntryNode::applyLostRequests(const RelayMessages::Update &update)
{
    const SteadyTime now = this->clock();
    RelayMessages::Update reply;
    for (const RelayMessages::LostRequest &lost : update.lost_requests()) {
        if (this->lostRequests.addReportedLoss(lost.fingerprint(), lost.instance(), lost.round(), now)) {
            reply.add_answered_requests(lost.fingerprint());
        }
    }
    for (const std::uint64_t fingerprint : update.answered_requests()) {
        this->lostRequests.addReportedResponse(fingerprint, now);
    }
    if (this->lostRequests.holdsLosses()) {
        std::vector<std::uint32_t> responded;
        for (const RelayMessages::InstanceOutcomes &outcomes : update.outcomes()) {
            if (outcomes.succeeded() + outcomes.rejected() > 0) {
                responded.push_back(outcomes.instance());
            }
        }
        this->lostRequests.addInstanceResponses(responded, now);
        for (const RelayMessages::InstanceSummary &summary : update.summaries()) {
            if (summary.success_age_milliseconds() > 0) {
                this->lostRequests.addInstanceResponses({summary.instance()}, now - std::chrono::milliseconds(summary.success_age_milliseconds()));
            }
        }
    }
    if (!reply.answered_requests().empty()) {
        this->relayUplink->send(reply);
    }
}

void EntryNode::applyConfiguration(const CatalogueMessages::Configuration &configuration)
{
    const std::shared_ptr<const ConfiguredCatalogue> next
        = std::make_shared<const ConfiguredCatalogue>(std::make_shared<const CatalogueMessages::Configuration>(configuration));
    std::uint64_t previous = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        previous = this->activeCatalogue->configuration().version();
        if (configuration.version() <= previous) {
            return;
        }
        this->activeCatalogue = next;
    }
    this->configured.notify_all();
    LOG(INFO) << "Configuration " << configuration.version() << " is in force; the previous version was " << previous;
}

void EntryNode::applyInstanceUpdates(const RelayMessages::Update &update)
{
    const SteadyTime now = this->clock();
    std::vector<RelayMessages::Registration> changed;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (const RelayMessages::Registration &registration : update.registrations()) {
            for (RelayMessages::Registration &each : this->board.apply(registration)) {
                changed.push_back(std::move(each));
            }
        }
        for (const RelayMessages::InstanceSummary &summary : update.summaries()) {
            this->board.apply(summary, now);
        }
        for (const RelayMessages::InstanceOutcomes &outcomes : update.outcomes()) {
            this->board.apply(outcomes, now);
        }
        for (const RelayMessages::ServiceUse &use : update.services()) {
            this->board.apply(use, now);
        }
    }
    for (const RelayMessages::Registration &each : changed) {
        if (each.state() != RelayMessages::REGISTRATION_STATE_READY || each.sequence() <= 1) {
            LOG(INFO) << "Instance " << each.id() << " of service " << each.service() << " at " << each.host() << ":" << each.port() << " is "
                      << RelayMessages::RegistrationState_Name(each.state()) << " by its registration " << each.sequence();
        }
    }
}

} // namespace Hyssophall
