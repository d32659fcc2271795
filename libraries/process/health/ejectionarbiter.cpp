#include "process/health/ejectionarbiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::duration<double> evidenceHalfLife{1.5};
constexpr std::chrono::seconds accusationLifetime{3};
constexpr std::chrono::seconds renewalInterval{4};
// An ejection that comes back within this time after the last one is a repetition and lasts longer.
constexpr std::chrono::seconds repetitionTime{60};
constexpr std::ptrdiff_t accusersNeeded = 2;
// Share of the VMs that use an instance and must find it bad: a rack that lost its way to the instance is too few.
constexpr double accusingShareNeeded = 0.2;
constexpr double samplesOfOneReporter = 20;
// Failure shares that the test weighs against each other: one that is still normal, and one that is clearly bad.
constexpr double smallestNormalShare = 0.06;
constexpr double normalOverMedian = 2;
constexpr double smallestBadShare = 0.25;
constexpr double badOverNormal = 3;
constexpr double largestBadShare = 0.9;
// Evidence, as a log-likelihood ratio, that ejects: with 9, a sound instance is taken for a bad one once in e^9 (8,100) trials at most.
constexpr double evidenceNeeded = 9;
// Old evidence fades, so that rare failures over hours don't add up.
constexpr std::chrono::duration<double> suspicionHalfLife{10};

double fade(std::chrono::steady_clock::duration age, std::chrono::duration<double> halfLife)
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
        Evidence &evidence = this->evidences[count.instance()];
        if (count.incarnation() < evidence.incarnation) {
            continue;
        }
        if (count.incarnation() > evidence.incarnation) {
            // The instance was restarted, so what the process before did doesn't count against it.
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
        if (bad > 0 && bad >= good * smallestNormalShare) {
            evidence.accusers[member] = now;
        }
    }
}

std::vector<FleetMessages::Ejection> EjectionArbiter::decide(const InstanceDirectory::Instances &instances, const CapacityFloor &floor, SteadyTime now)
{
    std::vector<FleetMessages::Ejection> records;
    std::size_t ready = 0;
    std::size_t ejected = 0;
    for (const KnownInstance &known : instances) {
        Evidence &evidence = this->evidences[known.instance.id()];
        if (evidence.incarnation != known.instance.incarnation()) {
            evidence = Evidence();
            evidence.incarnation = known.instance.incarnation();
        }
        decay(evidence, now);
        this->endOrRenew(known.instance.id(), evidence, now, records);
        if (known.instance.state() == FleetMessages::INSTANCE_STATE_READY) {
            ++ready;
            // The directory may still hold an ejection of the arbiter before.
            ejected += evidence.ejected || known.ejected ? 1 : 0;
        }
    }
    if (now - this->startedAt < quietPeriod) {
        return records;
    }
    this->weighEvidence(instances);
    std::vector<std::pair<double, const KnownInstance *>> candidates;
    for (const KnownInstance &known : instances) {
        const Evidence &evidence = this->evidences[known.instance.id()];
        if (known.instance.state() == FleetMessages::INSTANCE_STATE_READY && !evidence.ejected && !known.ejected && isBad(evidence, now)) {
            candidates.emplace_back(evidence.suspicion, &known);
        }
    }
    // The worst go first, since the floor may not allow all.
    std::sort(candidates.begin(),
        candidates.end(),
        [](const std::pair<double, const KnownInstance *> &left, const std::pair<double, const KnownInstance *> &right) { return left.first > right.first; });
    for (const std::pair<double, const KnownInstance *> &candidate : candidates) {
        if (ready < ejected + 1 + floor.instancesOf(instances.size())) {
            break;
        }
        Evidence &evidence = this->evidences[candidate.second->instance.id()];
        if (now - evidence.lastEjectionEnd > repetitionTime) {
            evidence.nextEjection = firstEjection;
        }
        evidence.ejected = true;
        evidence.ejectedUntil = now + evidence.nextEjection;
        evidence.nextEjection = std::min(evidence.nextEjection * 2, longestEjection);
        evidence.renewAt = now;
        this->endOrRenew(candidate.second->instance.id(), evidence, now, records);
        ++ejected;
    }
    return records;
}

void EjectionArbiter::decay(Evidence &evidence, SteadyTime now)
{
    if (evidence.decayedAt != SteadyTime()) {
        const double factor = fade(now - evidence.decayedAt, evidenceHalfLife);
        evidence.good *= factor;
        evidence.bad *= factor;
        evidence.suspicion *= fade(now - evidence.decayedAt, suspicionHalfLife);
    }
    evidence.decayedAt = now;
}

void EjectionArbiter::weighEvidence(const InstanceDirectory::Instances &instances)
{
    // A service that is bad as a whole has no outliers; ejecting would only push its load onto fewer instances.
    const double normal = std::max(smallestNormalShare, normalOverMedian * this->medianBadShare(instances));
    const double bad = std::clamp(badOverNormal * normal, smallestBadShare, largestBadShare);
    for (const KnownInstance &known : instances) {
        Evidence &evidence = this->evidences[known.instance.id()];
        // Cumulative sum test: finds a change to the worse after the fewest samples for a given rate of false alarms.
        if (normal < bad) {
            const double gain = evidence.newBad * std::log(bad / normal) + evidence.newGood * std::log((1 - bad) / (1 - normal));
            evidence.suspicion = std::max(0.0, evidence.suspicion + gain);
        }
        evidence.newGood = 0;
        evidence.newBad = 0;
    }
}

double EjectionArbiter::medianBadShare(const InstanceDirectory::Instances &instances) const
{
    std::vector<double> shares;
    for (const KnownInstance &known : instances) {
        const auto found = this->evidences.find(known.instance.id());
        if (found != this->evidences.end() && found->second.good + found->second.bad >= 1) {
            shares.push_back(found->second.bad / (found->second.good + found->second.bad));
        }
    }
    if (shares.empty()) {
        return 0;
    }
    // The lower of the two middle values: with two instances, the better one is the measure of the other.
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return *middle;
}

bool EjectionArbiter::isBad(const Evidence &evidence, SteadyTime now)
{
    if (evidence.suspicion < evidenceNeeded) {
        return false;
    }
    const auto isRecent = [now](const std::pair<const std::string, SteadyTime> &entry) { return now - entry.second <= accusationLifetime; };
    const std::ptrdiff_t accusers = std::count_if(evidence.accusers.begin(), evidence.accusers.end(), isRecent);
    const std::ptrdiff_t reporters = std::count_if(evidence.reporters.begin(), evidence.reporters.end(), isRecent);
    if (reporters == 1) {
        return evidence.good + evidence.bad >= samplesOfOneReporter;
    }
    return accusers >= accusersNeeded && static_cast<double>(accusers) >= accusingShareNeeded * static_cast<double>(reporters);
}

void EjectionArbiter::endOrRenew(const std::string &instance, Evidence &evidence, SteadyTime now, std::vector<FleetMessages::Ejection> &records)
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
        evidence.suspicion = 0;
        evidence.accusers.clear();
        records.push_back(this->record(instance, evidence, std::chrono::milliseconds(0)));
        return;
    }
    if (now >= evidence.renewAt) {
        const std::chrono::milliseconds left = std::chrono::duration_cast<std::chrono::milliseconds>(evidence.ejectedUntil - now);
        records.push_back(this->record(instance, evidence, std::min<std::chrono::milliseconds>(left, recordLifetime)));
        evidence.renewAt = now + renewalInterval;
    }
}

FleetMessages::Ejection EjectionArbiter::record(const std::string &instance, const Evidence &evidence, std::chrono::milliseconds remaining)
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
