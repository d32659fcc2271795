#include "process/health/healthnode.h"

#include <algorithm>
#include <future>
#include <memory>
#include <semaphore>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds tickInterval{250};
constexpr std::chrono::milliseconds calmReportInterval{1000};
constexpr std::chrono::milliseconds callTimeout{500};
// The request that lost its connection waits for these calls.
constexpr std::chrono::milliseconds crashTimeout{100};
// Reports a second that one arbiter takes. In a large fleet each VM reports more rarely, so that the arbiter's load stays bounded.
constexpr double suspiciousReportsPerSecond = 200;
constexpr double calmReportsPerSecond = 20;

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

FleetMessages::ReportOutcomesReply HealthNode::takeOutcomes(const FleetMessages::ReportOutcomesRequest &request)
{
    FleetMessages::ReportOutcomesReply reply;
    const std::optional<std::uint64_t> epoch = this->leases.heldEpoch(shardOf("service:" + request.service()));
    if (!epoch) {
        return reply;
    }
    reply.set_owned(true);
    if (this->directory.instances(request.service())->empty()) {
        // There is nothing to eject, and a name that no service has costs no memory.
        return reply;
    }
    const SteadyTime now = this->options.clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    auto arbiter = this->arbiters.try_emplace(request.service(), request.service(), *epoch, now).first;
    if (arbiter->second.epoch() != *epoch) {
        // Another VM may have been the arbiter in between, so what this one knew may be out of date.
        this->arbiters.erase(arbiter);
        arbiter = this->arbiters.try_emplace(request.service(), request.service(), *epoch, now).first;
    }
    arbiter->second.report(request.member(), {request.counts().begin(), request.counts().end()}, now);
    return reply;
}

FleetMessages::ReportCrashReply HealthNode::takeCrash(const FleetMessages::ReportCrashRequest &request)
{
    FleetMessages::ReportCrashReply reply;
    if (request.judged()) {
        this->monitor.markPoison(request.fingerprint(), CrashRegistry::memory);
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
        this->markPoisonEverywhere(request.fingerprint());
    }
    return reply;
}

void HealthNode::reportCrash(std::uint64_t fingerprint, const std::string &instance)
{
    FleetMessages::ReportCrashRequest request;
    request.set_member(this->options.memberId);
    request.set_fingerprint(fingerprint);
    request.set_instance(instance);
    if (this->askOwner(request)) {
        this->monitor.markPoison(fingerprint, CrashRegistry::memory);
        this->tellOthers(fingerprint, this->leases.candidateOf(shardOf(shardNameOf(fingerprint))));
    }
}

bool HealthNode::askOwner(const FleetMessages::ReportCrashRequest &request)
{
    const std::string owner = this->leases.candidateOf(shardOf(shardNameOf(request.fingerprint())));
    if (owner == this->options.memberId) {
        return this->takeCrash(request).poison();
    }
    const std::shared_ptr<std::promise<bool>> answered = std::make_shared<std::promise<bool>>();
    std::future<bool> judged = answered->get_future();
    this->transport.reportCrash(this->members.addressOf(owner), request, crashTimeout, [answered](boost::leaf::result<FleetMessages::ReportCrashReply> reply) {
        answered->set_value(reply && reply->poison());
    });
    return judged.wait_for(crashTimeout) == std::future_status::ready && judged.get();
}

void HealthNode::tellOthers(std::uint64_t fingerprint, const std::string &owner)
{
    FleetMessages::ReportCrashRequest judgement;
    judgement.set_member(this->options.memberId);
    judgement.set_fingerprint(fingerprint);
    judgement.set_judged(true);
    const std::shared_ptr<std::counting_semaphore<>> answers = std::make_shared<std::counting_semaphore<>>(0);
    std::size_t told = 0;
    for (const std::string &member : this->members.liveMembers()) {
        if (member == this->options.memberId || member == owner || told == maximumToldAtOnce) {
            continue;
        }
        ++told;
        this->transport.reportCrash(this->members.addressOf(member), judgement, crashTimeout, [answers](boost::leaf::result<FleetMessages::ReportCrashReply>) {
            // A VM that doesn't answer hears of it by gossip.
            answers->release();
        });
    }
    const SteadyTime end = std::chrono::steady_clock::now() + crashTimeout;
    for (std::size_t waiting = told; waiting > 0 && answers->try_acquire_until(end); --waiting) { }
}

std::string HealthNode::shardNameOf(std::uint64_t fingerprint)
{
    return "fingerprint:" + std::to_string(fingerprint);
}

bool HealthNode::isReportDue(const std::string &service, bool suspicious)
{
    const SteadyTime now = this->options.clock();
    const double fleetSize = static_cast<double>(std::max<std::size_t>(1, this->members.liveMembers().size()));
    const double reportsPerSecond = suspicious ? suspiciousReportsPerSecond : calmReportsPerSecond;
    const std::chrono::milliseconds shortest = suspicious ? tickInterval : calmReportInterval;
    const std::chrono::milliseconds spread(static_cast<std::int64_t>(1000 * fleetSize / reportsPerSecond));
    SteadyTime &last = this->reportedAt[service];
    if (now - last < std::max(shortest, spread)) {
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
            this->takeOutcomes(request);
        } else {
            // A lost report only delays a decision; the next one follows soon.
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

void HealthNode::markPoisonEverywhere(std::uint64_t fingerprint)
{
    this->monitor.markPoison(fingerprint, CrashRegistry::memory);
    FleetMessages::Record record;
    record.mutable_poison()->set_fingerprint(fingerprint);
    record.mutable_poison()->set_remaining_milliseconds(static_cast<std::uint32_t>(std::chrono::milliseconds(CrashRegistry::memory).count()));
    this->options.publish(record);
}

} // namespace Hyssophall
