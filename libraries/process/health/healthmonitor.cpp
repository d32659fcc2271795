#include "process/health/healthmonitor.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

// One idempotent request in this many goes to any instance, so that an instance with a bad score can show that it recovered.
constexpr std::uint64_t explorationInterval = 20;
constexpr std::size_t slowFactor = 3;
// Differences below this are noise of the network and the scheduler.
constexpr std::chrono::milliseconds slowMargin{20};
// Time for the owner of a fingerprint to answer and for a second crash to be reported.
constexpr std::chrono::seconds crashHoldTime{2};
// Shorter waits are common on a busy VM, and the answer itself will tell.
constexpr std::chrono::milliseconds shortestOverdue{300};
// Stands for "never" while too few instances have answered for a comparison.
constexpr std::chrono::hours longestOverdue{24};
constexpr double avoidedFailureShare = 0.3;
constexpr double suspiciousShare = 0.1;

} // namespace

HealthMonitor::Seen::Seen(SteadyTime firstSeen)
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
        // An ejected instance may still answer; refusing the request surely fails it.
        choices = this->candidates(*known, query.tried, true);
    }
    if (choices.empty()) {
        return std::nullopt;
    }
    SeenInstances &seen = this->seenOfService(query.service, *known, now);
    if (!query.idempotent) {
        // A request that can't be retried isn't risked on an instance that fails often, if there is another.
        const auto isAvoided
            = [this, &seen, now](const KnownInstance *choice) { return this->seenOf(seen, choice->instance, now).score.failureShare() > avoidedFailureShare; };
        if (!std::all_of(choices.begin(), choices.end(), isAvoided)) {
            std::erase_if(choices, isAvoided);
        }
    }
    const KnownInstance *chosen = choices[this->draw(choices.size())];
    const bool explores = query.idempotent && this->options.random() % explorationInterval == 0;
    if (!explores) {
        chosen = this->better(seen, chosen, choices[this->draw(choices.size())], now);
    }
    Seen &taken = this->seenOf(seen, chosen->instance, now);
    taken.score.begin();
    taken.pending.begin(now);
    return chosen->instance;
}

void HealthMonitor::finish(const FleetMessages::Instance &instance, TryOutcome outcome, std::chrono::microseconds latency, std::uint64_t fingerprint)
{
    bool reportsCrash = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->options.clock();
        SeenInstances &service = this->services[instance.service()];
        Seen &seen = this->seenOf(service, instance, now);
        if (seen.incarnation != instance.incarnation()) {
            return;
        }
        if (outcome == TryOutcome::Answered) {
            this->poison.noteAnswered(fingerprint, now);
        }
        // This VM avoids the instance at once in any case; only the count for the arbiter waits.
        seen.score.finish(outcome, latency);
        const bool wasOverdue = seen.pending.finish(now - latency);
        if (outcome == TryOutcome::ConnectionLost && !this->poison.wasAnsweredLately(fingerprint, now)) {
            reportsCrash = true;
            this->heldCrashes.push_back({instance.service(), instance.id(), instance.incarnation(), fingerprint, now + crashHoldTime});
        } else if (!wasOverdue) {
            this->count(seen, service, outcome, latency, now);
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
    this->settleCrashes(now);
    this->poison.removeExpired(now);
    for (auto service = this->services.begin(); service != this->services.end(); ++service) {
        this->forgetGone(service->first, service->second);
        this->countOverdue(service->second, now);
        ServiceReport report;
        report.service = service->first;
        for (const std::pair<const std::string, Seen> &entry : service->second) {
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

HealthMonitor::SeenInstances &HealthMonitor::seenOfService(const std::string &service, const InstanceDirectory::Instances &known, SteadyTime now)
{
    const auto inserted = this->services.try_emplace(service);
    // Instances that are there at the first use of a service aren't new; later ones start cold.
    const SteadyTime firstSeen = inserted.second ? now - InstanceScore::slowStart : now;
    for (const KnownInstance &instance : known) {
        this->seenOf(inserted.first->second, instance.instance, firstSeen);
    }
    return inserted.first->second;
}

HealthMonitor::Seen &HealthMonitor::seenOf(SeenInstances &service, const FleetMessages::Instance &instance, SteadyTime firstSeen)
{
    const auto found = service.try_emplace(instance.id(), firstSeen).first;
    if (found->second.incarnation < instance.incarnation()) {
        found->second = Seen(firstSeen);
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

const KnownInstance *HealthMonitor::better(SeenInstances &service, const KnownInstance *left, const KnownInstance *right, SteadyTime now)
{
    const double leftCost = this->seenOf(service, left->instance, now).score.cost(now);
    const double rightCost = this->seenOf(service, right->instance, now).score.cost(now);
    if (leftCost != rightCost) {
        return leftCost < rightCost ? left : right;
    }
    return right->instance.failure_domain() == this->options.failureDomain ? right : left;
}

std::size_t HealthMonitor::draw(std::size_t count) const
{
    return static_cast<std::size_t>(this->options.random() % count);
}

std::chrono::microseconds HealthMonitor::slowThreshold(const SeenInstances &service) const
{
    std::vector<std::chrono::microseconds> latencies;
    for (const std::pair<const std::string, Seen> &entry : service) {
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

void HealthMonitor::count(Seen &seen, const SeenInstances &service, TryOutcome outcome, std::chrono::microseconds latency, SteadyTime now)
{
    if (isFailure(outcome)) {
        seen.counts.set_failed(seen.counts.failed() + 1);
        return;
    }
    if (outcome != TryOutcome::Answered) {
        return;
    }
    // A cold start isn't a fault.
    if (!seen.score.isStartingUp(now) && latency > this->slowThreshold(service)) {
        seen.counts.set_slow(seen.counts.slow() + 1);
        return;
    }
    seen.counts.set_good(seen.counts.good() + 1);
}

void HealthMonitor::countOverdue(SeenInstances &service, SteadyTime now) const
{
    const std::chrono::microseconds limit = std::clamp<std::chrono::microseconds>(this->slowThreshold(service), shortestOverdue, longestOverdue);
    for (auto entry = service.begin(); entry != service.end(); ++entry) {
        const std::uint32_t overdue = entry->second.pending.takeOverdue(now, limit);
        if (!entry->second.score.isStartingUp(now)) {
            entry->second.counts.set_slow(entry->second.counts.slow() + overdue);
        }
    }
}

void HealthMonitor::settleCrashes(SteadyTime now)
{
    while (!this->heldCrashes.empty() && this->heldCrashes.front().settleAt <= now) {
        const HeldCrash held = std::move(this->heldCrashes.front());
        this->heldCrashes.pop_front();
        SeenInstances &service = this->services[held.service];
        const auto found = service.find(held.instance);
        if (found == service.end() || found->second.incarnation != held.incarnation || this->poison.isPoison(held.fingerprint, now)) {
            continue;
        }
        this->count(found->second, service, TryOutcome::ConnectionLost, std::chrono::microseconds(0), now);
    }
}

void HealthMonitor::forgetGone(const std::string &service, SeenInstances &seen) const
{
    const std::shared_ptr<const InstanceDirectory::Instances> known = this->directory.instances(service);
    for (auto entry = seen.begin(); entry != seen.end();) {
        const auto found = std::lower_bound(
            known->begin(), known->end(), entry->first, [](const KnownInstance &instance, const std::string &id) { return instance.instance.id() < id; });
        const bool present = found != known->end() && found->instance.id() == entry->first;
        if (!present && entry->second.score.inFlight() == 0) {
            entry = seen.erase(entry);
            continue;
        }
        if (present && entry->second.wasEjected && !found->ejected) {
            entry->second.score.giveAnotherChance();
        }
        entry->second.wasEjected = present && found->ejected;
        ++entry;
    }
}

bool HealthMonitor::isSuspicious(const Seen &seen)
{
    const std::uint32_t bad = seen.counts.failed() + seen.counts.slow();
    return bad > 0 && static_cast<double>(bad) >= suspiciousShare * static_cast<double>(bad + seen.counts.good());
}

} // namespace Hyssophall
