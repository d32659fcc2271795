#include "process/health/healthnode.h"

#include <algorithm>
#include <future>
#include <memory>
#include <semaphore>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds tickInterval{250};
constexpr std::chrono::milliseconds normalReportInterval{1000};
constexpr std::chrono::milliseconds callTimeout{500};
// Short, since the request that lost its connection waits for these calls.
constexpr std::chrono::milliseconds crashTimeout{100};
// Reports that one arbiter receives per second. In a large fleet each VM reports less often, so that the arbiter's load stays bounded.
constexpr double suspiciousReportsPerSecond = 200;
constexpr double normalReportsPerSecond = 20;

} // namespace

HealthNode::HealthNode(Options options,
    HealthMonitor &monitor,
    const InstanceDirectory &directory,
    const ShardLeases &leases,
    const MemberView &members,
    FleetTransport &transport)
    : options(std::move(options))
    , monitor(monitor)
    , directory(directory)
    , leases(leases)
    , members(members)
    , transport(transport)
{
}

HealthNode::~HealthNode()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->stopChanged.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void HealthNode::start()
{
    this->thread = std::thread([this] {
        std::unique_lock<std::mutex> lock(this->mutex);
        while (!this->stopChanged.wait_for(lock, tickInterval, [this] { return this->stopping; })) {
            lock.unlock();
            this->tick();
            lock.lock();
        }
    });
}

void HealthNode::tick()
{
    this->sendReports();
    this->decideEjections();
}

FleetMessages::ReportOutcomesReply HealthNode::handleReportOutcomes(const FleetMessages::ReportOutcomesRequest &request)
{
    FleetMessages::ReportOutcomesReply reply;
    const std::optional<std::uint64_t> epoch = this->leases.heldEpoch(shardOf("service:" + request.service()));
    if (!epoch) {
        return reply;
    }
    reply.set_owned(true);
    if (this->directory.instances(request.service())->empty()) {
        // No instance can be ejected. Creating no arbiter here keeps names of services that don't exist from using memory.
        return reply;
    }
    const SteadyTime now = this->options.clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    auto arbiter = this->arbiters.try_emplace(request.service(), request.service(), *epoch, now).first;
    if (arbiter->second.epoch() != *epoch) {
        // Another VM may have been the arbiter in the meantime, so the state of this arbiter may be out of date.
        this->arbiters.erase(arbiter);
        arbiter = this->arbiters.try_emplace(request.service(), request.service(), *epoch, now).first;
    }
    arbiter->second.report(request.member(), {request.counts().begin(), request.counts().end()}, now);
    return reply;
}

FleetMessages::ReportCrashReply HealthNode::handleReportCrash(const FleetMessages::ReportCrashRequest &request)
{
    FleetMessages::ReportCrashReply reply;
    if (request.judged()) {
        this->monitor.markPoison(request.fingerprint(), CrashRegistry::retention);
        reply.set_poison(true);
        return reply;
    }
    if (!this->leases.heldEpoch(shardOf(shardNameOf(request.fingerprint())))) {
        return reply;
    }
    reply.set_owned(true);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        reply.set_poison(this->crashes.report(request.fingerprint(), request.instance(), this->options.clock()));
    }
    if (reply.poison()) {
        this->publishPoison(request.fingerprint());
    }
    return reply;
}

void HealthNode::reportCrash(std::uint64_t fingerprint, const std::string &instance)
{
    FleetMessages::ReportCrashRequest request;
    request.set_member(this->options.memberId);
    request.set_fingerprint(fingerprint);
    request.set_instance(instance);
    if (this->reportToOwner(request)) {
        this->monitor.markPoison(fingerprint, CrashRegistry::retention);
        this->notifyOtherMembers(fingerprint, this->leases.candidateOf(shardOf(shardNameOf(fingerprint))));
    }
}

bool HealthNode::reportToOwner(const FleetMessages::ReportCrashRequest &request)
{
    const std::string owner = this->leases.candidateOf(shardOf(shardNameOf(request.fingerprint())));
    if (owner == this->options.memberId) {
        return this->handleReportCrash(request).poison();
    }
    const std::shared_ptr<std::promise<bool>> replyPromise = std::make_shared<std::promise<bool>>();
    std::future<bool> isPoison = replyPromise->get_future();
    this->transport.reportCrash(
        this->members.addressOf(owner), request, crashTimeout, [replyPromise](boost::leaf::result<FleetMessages::ReportCrashReply> reply) {
            replyPromise->set_value(reply && reply->poison());
        });
    return isPoison.wait_for(crashTimeout) == std::future_status::ready && isPoison.get();
}

void HealthNode::notifyOtherMembers(std::uint64_t fingerprint, const std::string &owner)
{
    FleetMessages::ReportCrashRequest notification;
    notification.set_member(this->options.memberId);
    notification.set_fingerprint(fingerprint);
    notification.set_judged(true);
    const std::shared_ptr<std::counting_semaphore<>> replies = std::make_shared<std::counting_semaphore<>>(0);
    std::size_t notified = 0;
    for (const std::string &member : this->members.liveMembers()) {
        if (member == this->options.memberId || member == owner || notified == maximumMembersNotified) {
            continue;
        }
        ++notified;
        this->transport.reportCrash(
            this->members.addressOf(member), notification, crashTimeout, [replies](boost::leaf::result<FleetMessages::ReportCrashReply>) {
                // A VM that doesn't reply receives the poison record by gossip.
                replies->release();
            });
    }
    const SteadyTime end = std::chrono::steady_clock::now() + crashTimeout;
    for (std::size_t pendingReplies = notified; pendingReplies > 0 && replies->try_acquire_until(end); --pendingReplies) { }
}

std::string HealthNode::shardNameOf(std::uint64_t fingerprint)
{
    return "fingerprint:" + std::to_string(fingerprint);
}

bool HealthNode::isReportDue(const std::string &service, bool suspicious)
{
    const SteadyTime now = this->options.clock();
    const double fleetSize = static_cast<double>(std::max<std::size_t>(1, this->members.liveMembers().size()));
    const double reportsPerSecond = suspicious ? suspiciousReportsPerSecond : normalReportsPerSecond;
    const std::chrono::milliseconds interval = suspicious ? tickInterval : normalReportInterval;
    const std::chrono::milliseconds loadInterval(static_cast<std::int64_t>(1000 * fleetSize / reportsPerSecond));
    SteadyTime &last = this->reportedAt[service];
    if (now - last < std::max(interval, loadInterval)) {
        return false;
    }
    last = now;
    return true;
}

void HealthNode::sendReports()
{
    const std::vector<HealthMonitor::ServiceReport> reports
        = this->monitor.collect([this](const std::string &service, bool suspicious) { return this->isReportDue(service, suspicious); });
    for (const HealthMonitor::ServiceReport &report : reports) {
        FleetMessages::ReportOutcomesRequest request;
        request.set_member(this->options.memberId);
        request.set_service(report.service);
        request.mutable_counts()->Assign(report.counts.begin(), report.counts.end());
        const std::string arbiter = this->leases.candidateOf(shardOf("service:" + report.service));
        if (arbiter == this->options.memberId) {
            this->handleReportOutcomes(request);
        } else {
            // Errors are ignored: a lost report only delays a decision until the next report.
            this->transport.reportOutcomes(
                this->members.addressOf(arbiter), request, callTimeout, [](boost::leaf::result<FleetMessages::ReportOutcomesReply>) {});
        }
    }
}

void HealthNode::decideEjections()
{
    std::vector<FleetMessages::Ejection> ejections;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->options.clock();
        this->crashes.removeExpired(now);
        for (auto arbiter = this->arbiters.begin(); arbiter != this->arbiters.end();) {
            const std::string &service = arbiter->first;
            if (this->leases.heldEpoch(shardOf("service:" + service)) != arbiter->second.epoch()) {
                arbiter = this->arbiters.erase(arbiter);
                continue;
            }
            const std::vector<FleetMessages::Ejection> decided
                = arbiter->second.decide(*this->directory.instances(service), this->options.floorOf(service), now);
            ejections.insert(ejections.end(), decided.begin(), decided.end());
            ++arbiter;
        }
    }
    for (const FleetMessages::Ejection &ejection : ejections) {
        FleetMessages::Record record;
        *record.mutable_ejection() = ejection;
        this->options.publish(record);
    }
}

void HealthNode::publishPoison(std::uint64_t fingerprint)
{
    this->monitor.markPoison(fingerprint, CrashRegistry::retention);
    FleetMessages::Record record;
    record.mutable_poison()->set_fingerprint(fingerprint);
    record.mutable_poison()->set_remaining_milliseconds(static_cast<std::uint32_t>(std::chrono::milliseconds(CrashRegistry::retention).count()));
    this->options.publish(record);
}

} // namespace Hyssophall
