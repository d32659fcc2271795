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
constexpr std::size_t accusersNeeded = 2;
constexpr double samplesOfOneAccuser = 20;
constexpr double smallestBadShare = 0.12;
constexpr double badShareOverMedian = 0.05;
// Standard deviations of the lower bound; with 2.6, chance alone ejects about once in 200 decisions at the threshold itself.
constexpr double boundDeviations = 2.6;

// Lower bound of Wilson's score interval: the share that the evidence supports, which is low for few samples.
double lowerBoundOfShare(double bad, double total)
{
    if (total <= 0) {
        return 0;
    }
    const double share = bad / total;
    const double squared = boundDeviations * boundDeviations;
    const double centre = share + squared / (2 * total);
    const double spread = boundDeviations * std::sqrt(share * (1 - share) / total + squared / (4 * total * total));
    return (centre - spread) / (1 + squared / total);
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
        evidence.good += count.good();
        evidence.bad += bad;
        if (bad > 0 && bad >= count.good() * smallestBadShare) {
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
    const double median = this->medianBadShare(instances);
    std::vector<std::pair<double, const KnownInstance *>> candidates;
    for (const KnownInstance &known : instances) {
        const Evidence &evidence = this->evidences[known.instance.id()];
        if (known.instance.state() == FleetMessages::INSTANCE_STATE_READY && !evidence.ejected && !known.ejected && this->isBad(evidence, median, now)) {
            candidates.emplace_back(evidence.bad / (evidence.bad + evidence.good), &known);
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
    if (evidence.decayedAt == SteadyTime()) {
        evidence.decayedAt = now;
        return;
    }
    const double factor = std::exp2(-(std::chrono::duration<double>(now - evidence.decayedAt) / evidenceHalfLife));
    evidence.good *= factor;
    evidence.bad *= factor;
    evidence.decayedAt = now;
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

bool EjectionArbiter::isBad(const Evidence &evidence, double median, SteadyTime now) const
{
    std::size_t accusers = 0;
    for (const std::pair<const std::string, SteadyTime> &accuser : evidence.accusers) {
        accusers += now - accuser.second <= accusationLifetime ? 1 : 0;
    }
    const double total = evidence.good + evidence.bad;
    if (accusers < accusersNeeded && total < samplesOfOneAccuser) {
        return false;
    }
    // A service that is bad as a whole has no outliers; ejecting would only push its load onto fewer instances.
    const double threshold = std::max(smallestBadShare, 2 * median + badShareOverMedian);
    return lowerBoundOfShare(evidence.bad, total) > threshold;
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
