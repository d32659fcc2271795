#include "process/health/healthnode.h"

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds tickInterval{250};
constexpr std::chrono::milliseconds calmReportInterval{1000};
constexpr std::chrono::milliseconds callTimeout{500};
// The request that lost its connection waits for this call.
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
    const std::string owner = this->leases.candidateOf(shardOf(shardNameOf(fingerprint)));
    if (owner == this->options.memberId) {
        this->takeCrash(request);
        return;
    }
    const std::shared_ptr<std::promise<void>> answered = std::make_shared<std::promise<void>>();
    const std::future<void> answer = answered->get_future();
    this->transport.reportCrash(
        this->members.addressOf(owner), request, crashTimeout, [this, fingerprint, answered](boost::leaf::result<FleetMessages::ReportCrashReply> reply) {
            if (reply && reply->poison()) {
                this->monitor.markPoison(fingerprint, CrashRegistry::memory);
            }
            answered->set_value();
        });
    answer.wait_for(crashTimeout);
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
