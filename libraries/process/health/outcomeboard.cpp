#include "process/health/outcomeboard.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hyssophall {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of the newest latency in the running mean: about the last ten count.
constexpr double latencyWeight = 0.1;
/// Requests that take so many times the usual latency of their service are likely to hang.
constexpr double hangingFactor = 2.5;
/// No request hangs before this, however fast its service is.
constexpr Milliseconds shortestHang{400};
/// A request in flight for longer is forgotten: its VM was lost before it could tell the end.
constexpr std::chrono::seconds longestFlight{12};
/// An instance that can't be reached is left alone for this long at first, and twice as long each time, up to the longest.
constexpr std::chrono::milliseconds firstUnreachableHold{500};
constexpr std::chrono::milliseconds longestUnreachableHold{2000};
/// An instance that was full has a free slot again about half a usual request later.
constexpr std::chrono::milliseconds fullHold{150};
/// Each request in flight on an instance that may be gray would be lost with it, too.
constexpr double companyCost = 0.5;
/// What a failed try costs that another one may follow: some time, and a part of the retry budget.
constexpr double repeatableFailureCost = 0.25;
constexpr double bytesOfKilobyte = 1024;
/// Prefers idle instances among those with free slots, since instances slow down when they are nearly full.
constexpr double busyCost = 0.02;
/// A request that waits for a slot waits for a third of a usual request at first; few miss their target by that.
constexpr double waitingCost = 0.1;
/// An instance at twice the latency of its service costs as much as this chance of a failure.
constexpr double slownessCost = 0.15;
constexpr double largestSlownessCost = 0.6;
constexpr double coldCost = 0.1;
constexpr double fullCost = 1.0;
/// Instances queue some requests beyond their slots; past this share of them, a request had better be refused at once.
constexpr double largestOccupancy = 3.0;
/// How far chance decides on a VM that hears of no others: as much as most crossings cost, so that some of its requests leave a domain whose
/// instances may be busier than it knows.
constexpr double blindCost = 0.25;
constexpr std::uint64_t drawSteps = 1024;
/// From here on, an instance is more likely gray than not; for the log alone.
constexpr double suspectedProbability = 0.5;
/// Share of requests that aren't served, also by refusals, from which on a service's work is spread over more instances. Low, since what other
/// VMs couldn't serve is known later than the rule counts it.
constexpr double failingShare = 0.02;
/// Share of the instances in service that get requests while many requests aren't served; the platform asks for 0.7 within 2 s.
constexpr double spreadShare = 0.75;
constexpr std::chrono::milliseconds spreadWindow{1600};
/// An instance that failed within this time isn't counted as sound; the same 2 s.
constexpr std::chrono::milliseconds failureWindow{2000};
/// Time after which the unserved requests of a service have faded to 1/e.
constexpr std::chrono::milliseconds failureMemory{1000};

std::int64_t ageOf(const std::optional<SteadyTime> &time, SteadyTime now)
{
    return time ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *time).count() : -1;
}

std::uint32_t summaryAge(const std::optional<SteadyTime> &time, SteadyTime now)
{
    return time ? static_cast<std::uint32_t>(std::max<std::int64_t>(1, ageOf(time, now))) : 0;
}

} // namespace

OutcomeBoard::OutcomeBoard(Options options)
    : options(std::move(options))
{
}

std::vector<RelayMessages::Registration> OutcomeBoard::take(const RelayMessages::Registration &registration)
{
    std::vector<RelayMessages::Registration> changed = this->instances.apply(registration);
    for (const RelayMessages::Registration &each : changed) {
        const std::uint32_t handle = InstanceTable::handleOf(each);
        if (each.state() == RelayMessages::REGISTRATION_STATE_GONE) {
            this->lives.erase(handle);
        } else {
            this->lives[handle].id = each.id();
        }
    }
    return changed;
}

void OutcomeBoard::apply(const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now)
{
    const auto known = this->lives.find(outcomes.instance());
    if (known == this->lives.end()) {
        return;
    }
    Life &life = known->second;
    const RelayMessages::Registration *registration = this->instances.find(life.id);
    if (registration == nullptr) {
        return;
    }
    Service &service = this->services[registration->service()];
    fade(service, now);
    const std::uint32_t ended = outcomes.succeeded() + outcomes.failed() + outcomes.rejected() + outcomes.unreachable() + outcomes.neutral();
    for (std::uint32_t count = 0; count < outcomes.started(); ++count) {
        life.starts.push_back(now);
        life.lastStart = now;
    }
    for (std::uint32_t count = 0; count < ended && !life.starts.empty(); ++count) {
        life.starts.pop_front();
    }
    life.hanging = std::min(life.hanging, life.starts.size());
    for (std::uint32_t count = 0; count < outcomes.failed(); ++count) {
        life.gray.addFailure(now, this->options.model);
        life.failure = now;
    }
    for (std::uint32_t count = 0; count < outcomes.succeeded(); ++count) {
        life.gray.addSuccess(now, this->options.model);
        life.success = now;
        const Milliseconds mean = Milliseconds(outcomes.latency_milliseconds()) / outcomes.succeeded();
        life.latency = life.latency.count() == 0 ? mean : life.latency + (mean - life.latency) * latencyWeight;
        service.latency = service.latency.count() == 0 ? mean : service.latency + (mean - service.latency) * latencyWeight;
    }
    this->noteSuspicion(life, registration->service(), now);
    if (outcomes.unreachable() > 0 && now >= life.unreachableUntil) {
        life.unreachableHold = std::clamp(2 * life.unreachableHold, firstUnreachableHold, longestUnreachableHold);
        life.unreachableUntil = now + life.unreachableHold;
    }
    if (outcomes.succeeded() + outcomes.failed() > 0) {
        life.unreachableHold = std::chrono::milliseconds(0);
    }
    if (outcomes.rejected() > 0) {
        life.fullUntil = now + fullHold;
    }
}

void OutcomeBoard::apply(const RelayMessages::ServiceUse &use, SteadyTime now)
{
    Service &service = this->services[use.service()];
    fade(service, now);
    service.unserved += use.unserved();
    service.ended += use.served() + use.unserved();
}

void OutcomeBoard::apply(const RelayMessages::InstanceSummary &summary, SteadyTime now)
{
    const auto known = this->lives.find(summary.instance());
    if (known == this->lives.end() || known->second.gray.isInformed()) {
        // What this VM heard outcome by outcome is at least as good as a summary.
        return;
    }
    Life &life = known->second;
    const SteadyTime success = now - std::chrono::milliseconds(summary.success_age_milliseconds());
    const SteadyTime failure = now - std::chrono::milliseconds(summary.failure_age_milliseconds());
    const bool succeeded = summary.success_age_milliseconds() > 0;
    const bool failed = summary.failure_age_milliseconds() > 0;
    if (succeeded && (!failed || success >= failure)) {
        life.gray.addSuccess(success, this->options.model);
        life.success = success;
    } else if (failed) {
        life.gray.addFailure(failure, this->options.model);
        life.failure = failure;
    }
    life.starts.assign(summary.in_flight(), now);
}

std::vector<RelayMessages::InstanceSummary> OutcomeBoard::summaries(SteadyTime now) const
{
    std::vector<RelayMessages::InstanceSummary> all;
    for (const std::pair<const std::uint32_t, Life> &entry : this->lives) {
        RelayMessages::InstanceSummary &summary = all.emplace_back();
        summary.set_instance(entry.first);
        summary.set_success_age_milliseconds(summaryAge(entry.second.success, now));
        summary.set_failure_age_milliseconds(summaryAge(entry.second.failure, now));
        summary.set_in_flight(static_cast<std::uint32_t>(entry.second.starts.size()));
    }
    return all;
}

std::optional<RelayMessages::Registration> OutcomeBoard::choose(const InstanceQuery &query, std::size_t answerBytes, SteadyTime now)
{
    const Stakes stakes = this->stakesOf(query, answerBytes);
    Service &service = this->services[query.service];
    fade(service, now);
    std::vector<Candidate> candidates;
    for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->instances.all()) {
        const RelayMessages::Registration &registration = entry.second;
        if (registration.service() != query.service || registration.state() != RelayMessages::REGISTRATION_STATE_READY
            || query.tried.contains(registration.id())) {
            continue;
        }
        Life &life = this->lives[InstanceTable::handleOf(registration)];
        this->countHanging(life, service, now);
        const double slots = std::max<std::uint32_t>(1, registration.slots());
        if (static_cast<double>(life.starts.size()) < largestOccupancy * slots) {
            candidates.push_back({&registration, &life, this->costOf(registration, life, service, stakes, now)});
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (!query.hearsOthers) {
        return *this->anySound(candidates, stakes, now).registration;
    }
    const Candidate chosen = this->needsSpreading(candidates, service, now) ? this->leastUsed(candidates, now) : this->cheapest(candidates);
    return *chosen.registration;
}

void OutcomeBoard::noteSuspicion(Life &life, const std::string &service, SteadyTime now) const
{
    const double probability = life.gray.probability(now, this->options.model);
    const bool isGray = probability >= suspectedProbability;
    if (isGray != life.isSuspected && this->options.suspicionChanged) {
        this->options.suspicionChanged({life.id, service, isGray, probability, life.starts.size()});
    }
    life.isSuspected = isGray;
}

OutcomeBoard::Stakes OutcomeBoard::stakesOf(const InstanceQuery &query, std::size_t answerBytes) const
{
    Stakes stakes;
    stakes.failure = query.idempotent && query.mayFollow ? repeatableFailureCost : 1;
    const double kilobytes = static_cast<double>(query.requestBytes + answerBytes) / bytesOfKilobyte;
    stakes.crossing = this->options.crossDomainCost + this->options.crossDomainCostOfKilobyte * kilobytes;
    return stakes;
}

void OutcomeBoard::countHanging(Life &life, Service &service, SteadyTime now)
{
    while (!life.starts.empty() && now - life.starts.front() > longestFlight) {
        life.starts.pop_front();
    }
    life.hanging = std::min(life.hanging, life.starts.size());
    const Milliseconds limit = std::max(shortestHang, service.latency * hangingFactor);
    while (life.hanging < life.starts.size() && now - life.starts[life.hanging] > limit) {
        ++life.hanging;
        // Long before its end, such a request is as good as unserved.
        service.unserved += 1;
        service.ended += 1;
        life.gray.addFailure(now, this->options.model);
        life.failure = now;
    }
}

double OutcomeBoard::costOf(
    const RelayMessages::Registration &registration, const Life &life, const Service &service, const Stakes &stakes, SteadyTime now) const
{
    const double gray = life.gray.probability(now, this->options.model);
    const double inFlight = static_cast<double>(life.starts.size());
    const double slots = std::max<std::uint32_t>(1, registration.slots());
    double cost = stakes.failure * gray * (this->options.model.grayFailureShare + companyCost * inFlight) + busyCost * inFlight;
    cost += waitingCost * std::max(0.0, inFlight + 1 - slots);
    if (life.latency.count() > 0 && service.latency.count() > 0) {
        cost += std::clamp(slownessCost * (life.latency / service.latency - 1.3), 0.0, largestSlownessCost);
    }
    cost += registration.failure_domain() == this->options.ownFailureDomain ? 0 : stakes.crossing;
    cost += now < life.fullUntil ? fullCost : 0;
    // Only when nothing else is left.
    cost += now < life.unreachableUntil ? 10 : 0;
    const bool cold = registration.warmup_milliseconds() > 0 && !life.success;
    return cost + (cold ? coldCost : 0);
}

OutcomeBoard::Candidate OutcomeBoard::cheapest(std::vector<Candidate> &candidates)
{
    // Equal ones are taken in turn by chance, so that VMs with the same view don't all choose the same instance.
    const std::size_t first = static_cast<std::size_t>(this->options.random() % candidates.size());
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end());
    return *std::min_element(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.cost < right.cost; });
}

bool OutcomeBoard::needsSpreading(const std::vector<Candidate> &candidates, const Service &service, SteadyTime now) const
{
    if (service.ended < 1 || service.unserved < failingShare * service.ended) {
        return false;
    }
    std::ptrdiff_t sound = 0;
    std::ptrdiff_t used = 0;
    for (const Candidate &candidate : candidates) {
        // An instance that failed just now may be left alone; one that got nothing may be sound.
        const bool maybeSound = !(candidate.life->failure && now - *candidate.life->failure < failureWindow) && now >= candidate.life->unreachableUntil;
        sound += maybeSound ? 1 : 0;
        used += maybeSound && isInUse(*candidate.life, now) ? 1 : 0;
    }
    return static_cast<double>(used) < spreadShare * static_cast<double>(sound);
}

bool OutcomeBoard::isInUse(const Life &life, SteadyTime now)
{
    return life.lastStart && now - *life.lastStart < spreadWindow;
}

OutcomeBoard::Candidate OutcomeBoard::anySound(std::vector<Candidate> &candidates, const Stakes &stakes, SteadyTime now)
{
    const auto isDoubtful = [now](const Candidate &candidate) {
        return now < candidate.life->unreachableUntil || (candidate.life->failure && now - *candidate.life->failure < failureWindow);
    };
    if (!std::all_of(candidates.begin(), candidates.end(), isDoubtful)) {
        std::erase_if(candidates, isDoubtful);
    }
    for (Candidate &candidate : candidates) {
        const bool isCrossing = candidate.registration->failure_domain() != this->options.ownFailureDomain;
        const double chance = static_cast<double>(this->options.random() % drawSteps) / drawSteps;
        candidate.cost = chance * blindCost + (isCrossing ? stakes.crossing : 0) + waitingCost * static_cast<double>(candidate.life->starts.size());
    }
    return this->cheapest(candidates);
}

OutcomeBoard::Candidate OutcomeBoard::leastUsed(std::vector<Candidate> &candidates, SteadyTime now)
{
    std::vector<Candidate> unused;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(unused), [now](const Candidate &candidate) {
        const bool failedNow = candidate.life->failure && now - *candidate.life->failure < failureWindow;
        return !failedNow && now >= candidate.life->unreachableUntil && !isInUse(*candidate.life, now);
    });
    return unused.empty() ? this->cheapest(candidates) : this->cheapest(unused);
}

void OutcomeBoard::fade(Service &service, SteadyTime now)
{
    const std::chrono::duration<double> age = now - service.faded;
    const std::chrono::duration<double> memory = failureMemory;
    const double factor = std::exp(-age.count() / memory.count());
    service.unserved *= factor;
    service.ended *= factor;
    service.faded = now;
}

std::string OutcomeBoard::explain(const std::string &instanceId, SteadyTime now) const
{
    const RelayMessages::Registration *registration = this->instances.find(instanceId);
    const auto life = registration == nullptr ? this->lives.end() : this->lives.find(InstanceTable::handleOf(*registration));
    if (life == this->lives.end()) {
        return "gone";
    }
    const double gray = life->second.gray.probability(now, this->options.model);
    return "gray=" + std::to_string(gray).substr(0, 4) + " in_flight=" + std::to_string(life->second.starts.size())
        + " success_age_ms=" + std::to_string(ageOf(life->second.success, now)) + " failure_age_ms=" + std::to_string(ageOf(life->second.failure, now));
}

const InstanceTable &OutcomeBoard::table() const
{
    return this->instances;
}

} // namespace Hyssophall
