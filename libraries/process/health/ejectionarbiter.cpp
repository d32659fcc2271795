#include "process/health/ejectionarbiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hyssophall {

namespace {

// Half-life of the counts of good and bad outcomes.
constexpr std::chrono::duration<double> evidenceHalfLife{1.5};
// Only VMs that reported an instance within this time are counted.
constexpr std::chrono::seconds reporterWindow{3};
constexpr std::chrono::seconds renewalInterval{4};
// An ejection that starts within this time after the end of the last one lasts twice as long, up to the maximum.
constexpr std::chrono::seconds repeatedEjectionWindow{60};
// Number of VMs that must report a failure share above normal, when several VMs report the instance.
constexpr std::ptrdiff_t minimumFailureReporters = 2;
// Of the VMs that report an instance, this share must report a failure share above normal. A single rack that lost its network path to the
// instance stays below it.
constexpr double minimumFailureReporterShare = 0.2;
// Number of samples needed when only one VM reports an instance.
constexpr double minimumSamplesOfSingleReporter = 20;
// The two hypotheses of the test: a failure share that is still normal, and one that is clearly bad.
constexpr double minimumNormalShare = 0.06;
constexpr double normalOverMedian = 2;
constexpr double minimumBadShare = 0.25;
constexpr double badOverNormal = 3;
constexpr double maximumBadShare = 0.9;
// Log-likelihood ratio at which an instance is ejected. With 9, a healthy instance is classified as bad in at most one of e^9 (8,100) tests.
constexpr double ejectionThreshold = 9;
// The ratio decays, so that rare failures over hours don't add up.
constexpr std::chrono::duration<double> logLikelihoodRatioHalfLife{10};

double decayFactor(std::chrono::steady_clock::duration age, std::chrono::duration<double> halfLife)
{
    return std::exp2(-(std::chrono::duration<double>(age) / halfLife));
}

} // namespace

std::size_t CapacityFloor::instancesOf(std::size_t known) const
{
    const std::size_t byShare = (known * this->perMille + 999) / 1000;
    return std::max<std::size_t>(byShare, this->count);
}

EjectionArbiter::EjectionArbiter(std::string service, std::uint64_t epoch, SteadyTime startedAt)
    : service(std::move(service))
    , leaseEpoch(epoch)
    , startedAt(startedAt)
{
}

std::uint64_t EjectionArbiter::epoch() const
{
    return this->leaseEpoch;
}

void EjectionArbiter::report(const std::string &member, const std::vector<FleetMessages::OutcomeCounts> &counts, SteadyTime now)
{
    for (const FleetMessages::OutcomeCounts &count : counts) {
        Evidence &evidence = this->evidenceByInstance[count.instance()];
        if (count.incarnation() < evidence.incarnation) {
            continue;
        }
        if (count.incarnation() > evidence.incarnation) {
            // The instance was restarted, so failures of its previous process don't count.
            evidence = Evidence();
            evidence.incarnation = count.incarnation();
        }
        decay(evidence, now);
        const double bad = static_cast<double>(count.failed()) + static_cast<double>(count.slow());
        const double good = static_cast<double>(count.good());
        evidence.good += good;
        evidence.bad += bad;
        evidence.newGood += good;
        evidence.newBad += bad;
        evidence.reporters[member] = now;
        if (bad > 0 && bad >= good * minimumNormalShare) {
            evidence.failureReporters[member] = now;
        }
    }
}

std::vector<FleetMessages::Ejection> EjectionArbiter::decide(const InstanceDirectory::Instances &instances, const CapacityFloor &floor, SteadyTime now)
{
    std::vector<FleetMessages::Ejection> records;
    std::size_t ready = 0;
    std::size_t ejected = 0;
    for (const KnownInstance &known : instances) {
        Evidence &evidence = this->evidenceByInstance[known.instance.id()];
        if (evidence.incarnation != known.instance.incarnation()) {
            evidence = Evidence();
            evidence.incarnation = known.instance.incarnation();
        }
        decay(evidence, now);
        this->endOrRenewEjection(known.instance.id(), evidence, now, records);
        if (known.instance.state() == FleetMessages::INSTANCE_STATE_READY) {
            ++ready;
            // The directory may still hold an ejection by the previous arbiter.
            ejected += evidence.ejected || known.ejected ? 1 : 0;
        }
    }
    if (now - this->startedAt < quietPeriod) {
        return records;
    }
    this->updateLogLikelihoodRatios(instances);
    std::vector<std::pair<double, const KnownInstance *>> candidates;
    for (const KnownInstance &known : instances) {
        const Evidence &evidence = this->evidenceByInstance[known.instance.id()];
        if (known.instance.state() == FleetMessages::INSTANCE_STATE_READY && !evidence.ejected && !known.ejected && isBad(evidence, now)) {
            candidates.emplace_back(evidence.logLikelihoodRatio, &known);
        }
    }
    // Ejects the worst instances first, since the floor may not permit all ejections.
    std::sort(candidates.begin(),
        candidates.end(),
        [](const std::pair<double, const KnownInstance *> &left, const std::pair<double, const KnownInstance *> &right) { return left.first > right.first; });
    for (const std::pair<double, const KnownInstance *> &candidate : candidates) {
        if (ready < ejected + 1 + floor.instancesOf(instances.size())) {
            break;
        }
        Evidence &evidence = this->evidenceByInstance[candidate.second->instance.id()];
        if (now - evidence.lastEjectionEnd > repeatedEjectionWindow) {
            evidence.nextEjectionTime = initialEjectionTime;
        }
        evidence.ejected = true;
        evidence.ejectedUntil = now + evidence.nextEjectionTime;
        evidence.nextEjectionTime = std::min(evidence.nextEjectionTime * 2, maximumEjectionTime);
        evidence.renewAt = now;
        this->endOrRenewEjection(candidate.second->instance.id(), evidence, now, records);
        ++ejected;
    }
    return records;
}

void EjectionArbiter::decay(Evidence &evidence, SteadyTime now)
{
    if (evidence.decayedAt != SteadyTime()) {
        const double factor = decayFactor(now - evidence.decayedAt, evidenceHalfLife);
        evidence.good *= factor;
        evidence.bad *= factor;
        evidence.logLikelihoodRatio *= decayFactor(now - evidence.decayedAt, logLikelihoodRatioHalfLife);
    }
    evidence.decayedAt = now;
}

void EjectionArbiter::updateLogLikelihoodRatios(const InstanceDirectory::Instances &instances)
{
    // The threshold is relative to the median: when all instances fail, none is an outlier, and ejections would only move the load onto fewer
    // instances.
    const double normal = std::max(minimumNormalShare, normalOverMedian * this->medianBadShare(instances));
    const double bad = std::clamp(badOverNormal * normal, minimumBadShare, maximumBadShare);
    for (const KnownInstance &known : instances) {
        Evidence &evidence = this->evidenceByInstance[known.instance.id()];
        // CUSUM (cumulative sum) test: detects an increase after the fewest samples for a given false alarm rate.
        if (normal < bad) {
            const double gain = evidence.newBad * std::log(bad / normal) + evidence.newGood * std::log((1 - bad) / (1 - normal));
            evidence.logLikelihoodRatio = std::max(0.0, evidence.logLikelihoodRatio + gain);
        }
        evidence.newGood = 0;
        evidence.newBad = 0;
    }
}

double EjectionArbiter::medianBadShare(const InstanceDirectory::Instances &instances) const
{
    std::vector<double> shares;
    for (const KnownInstance &known : instances) {
        const auto found = this->evidenceByInstance.find(known.instance.id());
        if (found != this->evidenceByInstance.end() && found->second.good + found->second.bad >= 1) {
            shares.push_back(found->second.bad / (found->second.good + found->second.bad));
        }
    }
    if (shares.empty()) {
        return 0;
    }
    // Takes the lower of the two middle values, so that of two instances the better one is the reference.
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

bool EjectionArbiter::isBad(const Evidence &evidence, SteadyTime now)
{
    if (evidence.logLikelihoodRatio < ejectionThreshold) {
        return false;
    }
    const auto isRecent = [now](const std::pair<const std::string, SteadyTime> &entry) { return now - entry.second <= reporterWindow; };
    const std::ptrdiff_t failureReporters = std::count_if(evidence.failureReporters.begin(), evidence.failureReporters.end(), isRecent);
    const std::ptrdiff_t reporters = std::count_if(evidence.reporters.begin(), evidence.reporters.end(), isRecent);
    if (reporters == 1) {
        return evidence.good + evidence.bad >= minimumSamplesOfSingleReporter;
    }
    return failureReporters >= minimumFailureReporters && static_cast<double>(failureReporters) >= minimumFailureReporterShare * static_cast<double>(reporters);
}

void EjectionArbiter::endOrRenewEjection(const std::string &instance, Evidence &evidence, SteadyTime now, std::vector<FleetMessages::Ejection> &records)
{
    if (!evidence.ejected) {
        return;
    }
    if (now >= evidence.ejectedUntil) {
        evidence.ejected = false;
        evidence.lastEjectionEnd = now;
        evidence.good = 0;
        evidence.bad = 0;
        evidence.newGood = 0;
        evidence.newBad = 0;
        evidence.logLikelihoodRatio = 0;
        evidence.failureReporters.clear();
        records.push_back(this->createRecord(instance, evidence, std::chrono::milliseconds(0)));
        return;
    }
    if (now >= evidence.renewAt) {
        const std::chrono::milliseconds left = std::chrono::duration_cast<std::chrono::milliseconds>(evidence.ejectedUntil - now);
        records.push_back(this->createRecord(instance, evidence, std::min<std::chrono::milliseconds>(left, recordLifetime)));
        evidence.renewAt = now + renewalInterval;
    }
}

FleetMessages::Ejection EjectionArbiter::createRecord(const std::string &instance, const Evidence &evidence, std::chrono::milliseconds remaining)
{
    FleetMessages::Ejection ejection;
    ejection.set_service(this->service);
    ejection.set_instance(instance);
    ejection.set_instance_incarnation(evidence.incarnation);
    ejection.set_epoch(this->leaseEpoch);
    ejection.set_sequence(++this->sequence);
    ejection.set_remaining_milliseconds(static_cast<std::uint32_t>(remaining.count()));
    return ejection;
}

} // namespace Hyssophall
