#include "process/health/healthmonitor.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

// One in this many idempotent requests goes to a random instance, so that the recovery of an instance with a bad score is detected.
constexpr std::uint64_t explorationInterval = 20;
// A try is slow above this multiple of the median latency of the service's instances, plus the margin.
constexpr std::size_t slowFactor = 3;
// Smaller differences are noise of the network and the scheduler.
constexpr std::chrono::milliseconds slowMargin{20};
// Time for the owner of a fingerprint to reply and for a second crash to be reported, before a lost connection counts against the instance.
constexpr std::chrono::seconds crashDecisionTime{2};
// Shorter waits are common on a busy VM, and the latency of the response shows whether the instance is slow.
constexpr std::chrono::milliseconds minimumOverdueLimit{300};
// Means "never"; used while too few instances have a latency for a comparison.
constexpr std::chrono::hours maximumOverdueLimit{24};
// Instances with a higher failure share get no requests that can't be retried, unless all instances are that bad.
constexpr double acceptableFailureShare = 0.3;
// Share of failed and slow tries from which a report goes to the arbiter early.
constexpr double suspiciousBadShare = 0.1;

} // namespace

HealthMonitor::InstanceStatistics::InstanceStatistics(SteadyTime firstSeen)
    : score(firstSeen)
{
}

HealthMonitor::HealthMonitor(Options options, const InstanceDirectory &directory)
    : options(std::move(options))
    , directory(directory)
{
}

std::optional<FleetMessages::Instance> HealthMonitor::choose(const InstanceQuery &query)
{
    const std::shared_ptr<const InstanceDirectory::Instances> known = this->directory.instances(query.service);
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->options.clock();
    std::vector<const KnownInstance *> choices = this->candidates(*known, query.tried, false);
    if (choices.empty()) {
        // An ejected instance may still respond, while refusing the request would certainly fail it.
        choices = this->candidates(*known, query.tried, true);
    }
    if (choices.empty()) {
        return std::nullopt;
    }
    ServiceStatistics &statistics = this->statisticsOfService(query.service, *known, now);
    if (!query.idempotent) {
        // A request that can't be retried goes to an instance that fails often only if there is no other.
        const auto isAvoided = [this, &statistics, now](const KnownInstance *choice) {
            return this->statisticsOf(statistics, choice->instance, now).score.failureShare() > acceptableFailureShare;
        };
        if (!std::all_of(choices.begin(), choices.end(), isAvoided)) {
            std::erase_if(choices, isAvoided);
        }
    }
    const KnownInstance *chosen = choices[this->randomIndex(choices.size())];
    const bool isExploration = query.idempotent && this->options.random() % explorationInterval == 0;
    if (!isExploration) {
        chosen = this->withLowerCost(statistics, chosen, choices[this->randomIndex(choices.size())], now);
    }
    InstanceStatistics &chosenStatistics = this->statisticsOf(statistics, chosen->instance, now);
    chosenStatistics.score.begin();
    chosenStatistics.pending.begin(now);
    return chosen->instance;
}

void HealthMonitor::finish(const FleetMessages::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint)
{
    bool reportsCrash = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->options.clock();
        ServiceStatistics &service = this->services[instance.service()];
        InstanceStatistics &statistics = this->statisticsOf(service, instance, now);
        if (statistics.incarnation != instance.incarnation()) {
            return;
        }
        if (outcome == TryOutcome::Answered) {
            this->poison.recordResponse(fingerprint, now);
        }
        // The score changes at once, so this VM avoids the instance; only the count for the arbiter may be delayed.
        statistics.score.finish(outcome, latency);
        const bool wasOverdue = statistics.pending.finish(now - latency);
        if (outcome == TryOutcome::ConnectionLost && !this->poison.hasRecentResponse(fingerprint, now)) {
            reportsCrash = true;
            this->pendingCrashes.push_back({instance.service(), instance.id(), instance.incarnation(), fingerprint, now + crashDecisionTime});
        } else if (!wasOverdue) {
            this->countOutcome(statistics, service, outcome, latency, now);
        }
    }
    if (reportsCrash) {
        this->options.reportCrash(fingerprint, instance.id());
    }
}

bool HealthMonitor::isPoison(std::uint64_t fingerprint) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->poison.isPoison(fingerprint, this->options.clock());
}

void HealthMonitor::markPoison(std::uint64_t fingerprint, std::chrono::milliseconds remaining)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->poison.markPoison(fingerprint, this->options.clock() + remaining);
}

std::vector<HealthMonitor::ServiceReport> HealthMonitor::collect(const std::function<bool(const std::string &, bool)> &isDue)
{
    std::vector<ServiceReport> reports;
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->options.clock();
    this->countPendingCrashes(now);
    this->poison.removeExpired(now);
    for (auto service = this->services.begin(); service != this->services.end(); ++service) {
        this->removeGoneInstances(service->first, service->second);
        this->countOverdue(service->second, now);
        ServiceReport report;
        report.service = service->first;
        for (const std::pair<const std::string, InstanceStatistics> &entry : service->second) {
            const FleetMessages::OutcomeCounts &counts = entry.second.counts;
            if (counts.good() + counts.failed() + counts.slow() > 0) {
                report.counts.push_back(counts);
                report.suspicious = report.suspicious || isSuspicious(entry.second);
            }
        }
        if (report.counts.empty() || !isDue(report.service, report.suspicious)) {
            continue;
        }
        for (auto entry = service->second.begin(); entry != service->second.end(); ++entry) {
            entry->second.counts.set_good(0);
            entry->second.counts.set_failed(0);
            entry->second.counts.set_slow(0);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

HealthMonitor::ServiceStatistics &HealthMonitor::statisticsOfService(const std::string &service, const InstanceDirectory::Instances &known, SteadyTime now)
{
    const auto inserted = this->services.try_emplace(service);
    // Instances that exist when this VM first uses the service get no slow start; those that appear later do.
    const SteadyTime firstSeen = inserted.second ? now - InstanceScore::slowStart : now;
    for (const KnownInstance &instance : known) {
        this->statisticsOf(inserted.first->second, instance.instance, firstSeen);
    }
    return inserted.first->second;
}

HealthMonitor::InstanceStatistics &HealthMonitor::statisticsOf(ServiceStatistics &service, const FleetMessages::Instance &instance, SteadyTime firstSeen)
{
    const auto found = service.try_emplace(instance.id(), firstSeen).first;
    if (found->second.incarnation < instance.incarnation()) {
        found->second = InstanceStatistics(firstSeen);
        found->second.incarnation = instance.incarnation();
        found->second.counts.set_instance(instance.id());
        found->second.counts.set_incarnation(instance.incarnation());
    }
    return found->second;
}

std::vector<const KnownInstance *> HealthMonitor::candidates(
    const InstanceDirectory::Instances &instances, const std::set<std::string> &tried, bool withEjected) const
{
    std::vector<const KnownInstance *> choices;
    for (const KnownInstance &known : instances) {
        if (known.instance.state() == FleetMessages::INSTANCE_STATE_READY && (withEjected || !known.ejected) && !tried.contains(known.instance.id())) {
            choices.push_back(&known);
        }
    }
    return choices;
}

const KnownInstance *HealthMonitor::withLowerCost(ServiceStatistics &service, const KnownInstance *left, const KnownInstance *right, SteadyTime now)
{
    const double leftCost = this->statisticsOf(service, left->instance, now).score.cost(now);
    const double rightCost = this->statisticsOf(service, right->instance, now).score.cost(now);
    if (leftCost != rightCost) {
        return leftCost < rightCost ? left : right;
    }
    return right->instance.failure_domain() == this->options.failureDomain ? right : left;
}

std::size_t HealthMonitor::randomIndex(std::size_t count) const
{
    return static_cast<std::size_t>(this->options.random() % count);
}

std::chrono::microseconds HealthMonitor::slowThreshold(const ServiceStatistics &service) const
{
    std::vector<std::chrono::microseconds> latencies;
    for (const std::pair<const std::string, InstanceStatistics> &entry : service) {
        if (entry.second.score.latency().count() > 0) {
            latencies.push_back(entry.second.score.latency());
        }
    }
    if (latencies.size() < 2) {
        return std::chrono::microseconds::max();
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle * slowFactor + slowMargin;
}

void HealthMonitor::countOutcome(
    InstanceStatistics &statistics, const ServiceStatistics &service, TryOutcome outcome, std::chrono::microseconds latency, SteadyTime now)
{
    if (isFailure(outcome)) {
        statistics.counts.set_failed(statistics.counts.failed() + 1);
        return;
    }
    if (outcome != TryOutcome::Answered) {
        return;
    }
    // High latency of a cold instance isn't a failure.
    if (!statistics.score.isStartingUp(now) && latency > this->slowThreshold(service)) {
        statistics.counts.set_slow(statistics.counts.slow() + 1);
        return;
    }
    statistics.counts.set_good(statistics.counts.good() + 1);
}

void HealthMonitor::countOverdue(ServiceStatistics &service, SteadyTime now) const
{
    const std::chrono::microseconds limit = std::clamp<std::chrono::microseconds>(this->slowThreshold(service), minimumOverdueLimit, maximumOverdueLimit);
    for (auto entry = service.begin(); entry != service.end(); ++entry) {
        const std::uint32_t overdue = entry->second.pending.countNewlyOverdue(now, limit);
        if (!entry->second.score.isStartingUp(now)) {
            entry->second.counts.set_slow(entry->second.counts.slow() + overdue);
        }
    }
}

void HealthMonitor::countPendingCrashes(SteadyTime now)
{
    while (!this->pendingCrashes.empty() && this->pendingCrashes.front().countAt <= now) {
        const PendingCrash crash = std::move(this->pendingCrashes.front());
        this->pendingCrashes.pop_front();
        ServiceStatistics &service = this->services[crash.service];
        const auto found = service.find(crash.instance);
        if (found == service.end() || found->second.incarnation != crash.incarnation || this->poison.isPoison(crash.fingerprint, now)) {
            continue;
        }
        this->countOutcome(found->second, service, TryOutcome::ConnectionLost, std::chrono::microseconds(0), now);
    }
}

void HealthMonitor::removeGoneInstances(const std::string &service, ServiceStatistics &statistics) const
{
    const std::shared_ptr<const InstanceDirectory::Instances> known = this->directory.instances(service);
    for (auto entry = statistics.begin(); entry != statistics.end();) {
        const auto found = std::lower_bound(
            known->begin(), known->end(), entry->first, [](const KnownInstance &instance, const std::string &id) { return instance.instance.id() < id; });
        const bool present = found != known->end() && found->instance.id() == entry->first;
        if (!present && entry->second.score.inFlight() == 0) {
            entry = statistics.erase(entry);
            continue;
        }
        if (present && entry->second.wasEjected && !found->ejected) {
            entry->second.score.resetAfterEjection();
        }
        entry->second.wasEjected = present && found->ejected;
        ++entry;
    }
}

bool HealthMonitor::isSuspicious(const InstanceStatistics &statistics)
{
    const std::uint32_t bad = statistics.counts.failed() + statistics.counts.slow();
    return bad > 0 && static_cast<double>(bad) >= suspiciousBadShare * static_cast<double>(bad + statistics.counts.good());
}

} // namespace Hyssophall
