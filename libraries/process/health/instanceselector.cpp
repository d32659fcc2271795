#include "process/health/instanceselector.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of the newest latency in the exponentially weighted mean, which thus covers about the last ten.
constexpr double latencyWeight = 0.1;
/// A request counts as hanging after this multiple of its service's mean latency.
constexpr double hangingFactor = 2.5;
/// Lower bound of the hang timeout, for services with a short latency.
constexpr Milliseconds minimumHangTimeout{400};
/// A request in flight for longer is dropped from the count: its VM was lost before it could report the outcome.
constexpr std::chrono::seconds maximumRequestAge{12};
/// An unreachable instance is avoided for a time that doubles from the initial to the maximum backoff. A success or a failure there resets it.
constexpr std::chrono::milliseconds initialUnreachableBackoff{500};
constexpr std::chrono::milliseconds maximumUnreachableBackoff{2000};
/// An instance whose address belongs to another one has ended, so only a new registration makes it reachable. A limit, in case a response was wrong.
constexpr std::chrono::seconds misaddressedBackoff{20};
/// An instance that rejected a request as full has a free slot again after about half the usual duration of a request.
constexpr std::chrono::milliseconds fullBackoff{150};
/// Increase of the failure cost for each request in flight on an instance that may be gray, since these requests would fail together.
constexpr double sharedFailureCost = 0.5;
/// Cost of a failed try that may be retried: some time, and a part of the retry budget.
constexpr double retryableFailureCost = 0.25;
constexpr double bytesPerKilobyte = 1024;
constexpr double thousandths = 1000;
/// Cost of each request in flight. Prefers idle instances among those with free slots, since instances slow down when they are nearly full.
constexpr double inFlightCost = 0.02;
/// Cost of each request queued for a slot. The first one waits for about a third of the usual duration of a request, and few miss their
/// latency target by that.
constexpr double queueingCost = 0.1;
/// Cost for each multiple of the service's mean latency above 1.3: twice the mean costs about as much as a failure probability of 0.1.
constexpr double highLatencyCost = 0.15;
constexpr double maximumHighLatencyCost = 0.6;
constexpr double coldStartCost = 0.1;
constexpr double fullInstanceCost = 1.0;
/// Requests in flight per slot at which an instance is full. Instances queue some requests beyond their slots, but with a longer queue it is
/// better to refuse a request at once.
constexpr double maximumOccupancy = 3.0;
/// Largest random cost on a VM that receives no outcomes of other VMs. It equals the cost of most requests to another failure domain, so some
/// requests leave the VM's own domain, whose instances may be busier than the VM knows.
constexpr double maximumRandomCost = 0.25;
constexpr std::uint64_t randomSteps = 65536;
/// An instance at or above this probability is assumed to be gray. Used only for the log.
constexpr double assumedGrayProbability = 0.5;
/// Share of requests that aren't served, refusals included, from which a service's requests also go to idle instances. Low, since unserved
/// requests of other VMs enter the count with a delay.
constexpr double unservedShareForSpreading = 0.02;
/// An instance is idle if no request of any VM was started there for this long, and gets one this much later on average. The platform requires
/// that 0.7 of the sound instances get a request within 2 s.
constexpr std::chrono::milliseconds idleTime{1200};
/// The same for an instance of another failure domain than the VM's, if no VM of its own domain has chosen it by then.
constexpr std::chrono::milliseconds idleTimeOfOtherDomain{1600};
constexpr std::chrono::milliseconds idleChoiceTime{200};
/// An instance that failed within this time isn't tried only since it is idle. The platform counts it as sound again after this time.
constexpr std::chrono::milliseconds recentFailureWindow{2000};
/// Relative fall of the visible share from which the requests in flight of other VMs are dropped. A smaller one leaves few that never end.
constexpr double notableShareFall = 0.1;
/// Share of unserved requests from which instances without requests are reported, and the time between two reports.
constexpr double unservedShareForReport = 0.1;
constexpr std::chrono::milliseconds idleReportInterval{1000};
/// Time after which the counts of a service have decayed to 1/e.
constexpr std::chrono::milliseconds unservedDecayTime{1000};

std::int64_t ageMilliseconds(const std::optional<SteadyTime> &time, SteadyTime now)
{
    return time ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *time).count() : -1;
}

std::optional<double> limitOf(std::uint32_t limitThousandths)
{
    return limitThousandths > 0 ? std::optional<double>(limitThousandths / thousandths) : std::nullopt;
}

std::uint32_t summaryAgeMilliseconds(const std::optional<SteadyTime> &time, SteadyTime now)
{
    return time ? static_cast<std::uint32_t>(std::max<std::int64_t>(1, ageMilliseconds(time, now))) : 0;
}

} // namespace

InstanceSelector::InstanceSelector(Options options)
    : options(std::move(options))
{
}

std::vector<RelayMessages::Registration> InstanceSelector::apply(const RelayMessages::Registration &registration)
{
    std::vector<RelayMessages::Registration> changed = this->instances.apply(registration);
    for (const RelayMessages::Registration &each : changed) {
        const std::uint32_t handle = InstanceTable::handleOf(each);
        if (each.state() == RelayMessages::REGISTRATION_STATE_GONE) {
            this->states.erase(handle);
        } else {
            this->states[handle].id = each.id();
        }
    }
    return changed;
}

void InstanceSelector::apply(const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now)
{
    InstanceState *state = this->findState(outcomes.instance());
    if (state != nullptr) {
        this->applyTo(*state, state->otherRequests, outcomes, now);
    }
}

void InstanceSelector::applyOwn(const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now)
{
    InstanceState *state = this->findState(outcomes.instance());
    if (state != nullptr) {
        this->applyTo(*state, state->ownRequests, outcomes, now);
    }
}

InstanceSelector::InstanceState *InstanceSelector::findState(std::uint32_t handle)
{
    const auto known = this->states.find(handle);
    return known == this->states.end() || this->instances.find(known->second.id) == nullptr ? nullptr : &known->second;
}

void InstanceSelector::applyTo(InstanceState &state, InFlightRequests &requests, const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now)
{
    const RelayMessages::Registration &registration = *this->instances.find(state.id);
    Service &service = this->services[registration.service()];
    decay(service, now);
    if (outcomes.started() > 0) {
        requests.start(outcomes.started(), now);
        state.restrictions.limit().addStarted(outcomes.started(), now);
        state.lastStart = now;
    }
    if (outcomes.limit_thousandths() > 0 || outcomes.limit_ended()) {
        state.restrictions.limit().set(limitOf(outcomes.limit_thousandths()), now);
    }
    const std::uint32_t ended = endedCount(outcomes);
    requests.end(ended - std::min(ended, outcomes.ended_late()));
    for (std::uint32_t count = 0; count < outcomes.failed(); ++count) {
        state.gray.addFailure(now, this->options.model);
        state.lastFailure = now;
    }
    for (std::uint32_t count = 0; count < outcomes.succeeded(); ++count) {
        state.gray.addSuccess(now, this->options.model);
        state.lastSuccess = now;
        const Milliseconds mean = Milliseconds(outcomes.latency_milliseconds()) / outcomes.succeeded();
        state.latency = state.latency.count() == 0 ? mean : state.latency + (mean - state.latency) * latencyWeight;
        service.latency = service.latency.count() == 0 ? mean : service.latency + (mean - service.latency) * latencyWeight;
    }
    this->updateGrayState(state, registration.service(), now);
    if (outcomes.unreachable() > 0 && now >= state.unreachableUntil) {
        state.unreachableBackoff = std::clamp(2 * state.unreachableBackoff, initialUnreachableBackoff, maximumUnreachableBackoff);
        state.unreachableUntil = now + state.unreachableBackoff;
    }
    if (outcomes.misaddressed() > 0) {
        state.unreachableUntil = now + misaddressedBackoff;
    }
    if (outcomes.succeeded() + outcomes.failed() > 0) {
        state.unreachableBackoff = std::chrono::milliseconds(0);
    }
    if (outcomes.rejected() > 0) {
        state.fullUntil = now + fullBackoff;
    }
}

std::uint32_t InstanceSelector::endedCount(const RelayMessages::InstanceOutcomes &outcomes)
{
    return outcomes.succeeded() + outcomes.failed() + outcomes.rejected() + outcomes.unreachable() + outcomes.neutral();
}

std::uint32_t InstanceSelector::limitThousandths(std::optional<double> requestsPerSecond)
{
    return requestsPerSecond ? static_cast<std::uint32_t>(std::max(1.0, std::round(*requestsPerSecond * thousandths))) : 0;
}

bool InstanceSelector::setLimit(std::uint32_t handle, std::optional<double> requestsPerSecond, SteadyTime now)
{
    InstanceState *state = this->findState(handle);
    if (state == nullptr || limitThousandths(state->restrictions.limit().requestsPerSecond()) == limitThousandths(requestsPerSecond)) {
        return false;
    }
    state->restrictions.limit().set(requestsPerSecond, now);
    return true;
}

bool InstanceSelector::addBackoff(std::uint32_t handle, std::chrono::milliseconds duration, SteadyTime now)
{
    InstanceState *state = this->findState(handle);
    return state != nullptr && state->restrictions.addBackoff(duration, now);
}

bool InstanceSelector::setLeaving(std::uint32_t handle)
{
    InstanceState *state = this->findState(handle);
    return state != nullptr && state->restrictions.setLeaving();
}

bool InstanceSelector::takesRequests(const std::string &instanceId, SteadyTime now) const
{
    const RelayMessages::Registration *registration = this->instances.find(instanceId);
    if (registration == nullptr || registration->state() != RelayMessages::REGISTRATION_STATE_READY) {
        return false;
    }
    const auto state = this->states.find(InstanceTable::handleOf(*registration));
    return state == this->states.end() || state->second.restrictions.takesRequests(now);
}

std::optional<std::chrono::milliseconds> InstanceSelector::shortestBackoff(const std::string &service, SteadyTime now) const
{
    std::optional<SteadyTime> first;
    for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->instances.all()) {
        const auto state = this->states.find(InstanceTable::handleOf(entry.second));
        if (entry.second.service() == service && state != this->states.end() && state->second.restrictions.backoffUntil() > now) {
            first = std::min(first.value_or(SteadyTime::max()), state->second.restrictions.backoffUntil());
        }
    }
    return first ? std::optional<std::chrono::milliseconds>(std::chrono::ceil<std::chrono::milliseconds>(*first - now)) : std::nullopt;
}

void InstanceSelector::setVisibleShare(double share)
{
    this->visibleShare = share;
    if (share >= (1 - notableShareFall) * this->countedShare) {
        this->countedShare = std::max(this->countedShare, share);
        return;
    }
    this->countedShare = share;
    for (std::pair<const std::uint32_t, InstanceState> &entry : this->states) {
        entry.second.otherRequests.clear();
    }
}

void InstanceSelector::apply(const RelayMessages::ServiceUse &use, SteadyTime now)
{
    Service &service = this->services[use.service()];
    decay(service, now);
    service.unserved += use.unserved();
    service.ended += use.served() + use.unserved();
}

void InstanceSelector::beginConnection()
{
    for (std::pair<const std::uint32_t, InstanceState> &entry : this->states) {
        entry.second.ownAtConnection = entry.second.ownRequests.count();
    }
}

void InstanceSelector::apply(const RelayMessages::InstanceSummary &summary, SteadyTime now)
{
    const auto known = this->states.find(summary.instance());
    if (known == this->states.end()) {
        return;
    }
    InstanceState &state = known->second;
    // A relay that has just started knows no limits, so a summary without one doesn't end a limit that this VM knows.
    if (summary.limit_thousandths() > 0) {
        state.restrictions.limit().set(limitOf(summary.limit_thousandths()), now);
    }
    // The relay counts the requests of this VM, too. It doesn't send back what this VM reports to it from the connection on.
    const std::size_t own = state.ownAtConnection.value_or(state.ownRequests.count());
    state.otherRequests.reset(static_cast<std::int64_t>(summary.in_flight()) - static_cast<std::int64_t>(own), maximumStartDelay, now);
    if (state.gray.hasOutcome()) {
        // The outcomes that this VM received one by one are at least as accurate as a summary.
        return;
    }
    const SteadyTime success = now - std::chrono::milliseconds(summary.success_age_milliseconds());
    const SteadyTime failure = now - std::chrono::milliseconds(summary.failure_age_milliseconds());
    const bool succeeded = summary.success_age_milliseconds() > 0;
    const bool failed = summary.failure_age_milliseconds() > 0;
    if (succeeded && (!failed || success >= failure)) {
        state.gray.addSuccess(success, this->options.model);
        state.lastSuccess = success;
    } else if (failed) {
        state.gray.addFailure(failure, this->options.model);
        state.lastFailure = failure;
    }
}

std::vector<RelayMessages::InstanceSummary> InstanceSelector::summaries(SteadyTime now) const
{
    std::vector<RelayMessages::InstanceSummary> all;
    for (const std::pair<const std::uint32_t, InstanceState> &entry : this->states) {
        RelayMessages::InstanceSummary &summary = all.emplace_back();
        summary.set_instance(entry.first);
        summary.set_success_age_milliseconds(summaryAgeMilliseconds(entry.second.lastSuccess, now));
        summary.set_failure_age_milliseconds(summaryAgeMilliseconds(entry.second.lastFailure, now));
        summary.set_limit_thousandths(limitThousandths(entry.second.restrictions.limit().requestsPerSecond()));
        summary.set_in_flight(static_cast<std::uint32_t>(entry.second.inFlight()));
    }
    return all;
}

std::optional<RelayMessages::Registration> InstanceSelector::choose(const InstanceQuery &query, std::size_t responseBytes, SteadyTime now)
{
    const RequestCosts costs = this->requestCosts(query, responseBytes);
    Service &service = this->services[query.service];
    decay(service, now);
    std::vector<Candidate> candidates;
    for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->instances.all()) {
        const RelayMessages::Registration &registration = entry.second;
        if (registration.service() != query.service || registration.state() != RelayMessages::REGISTRATION_STATE_READY
            || query.tried.contains(registration.id())) {
            continue;
        }
        InstanceState &state = this->states[InstanceTable::handleOf(registration)];
        if (!query.receivesFleetOutcomes) {
            state.otherRequests.clear();
        }
        this->countHangingRequests(state, service, now);
        if (state.restrictions.allowsRequest(this->visibleShare, now)) {
            candidates.push_back({&registration, &state, this->costOf(registration, state, service, costs, now)});
        }
    }
    if (query.receivesFleetOutcomes && query.tried.empty()) {
        const std::optional<Candidate> idle = this->chooseIdle(candidates, service, costs, now);
        if (idle) {
            return *idle->registration;
        }
    }
    std::erase_if(candidates, [](const Candidate &candidate) { return isFull(*candidate.registration, *candidate.state); });
    if (candidates.empty()) {
        return std::nullopt;
    }
    return *(query.receivesFleetOutcomes ? this->cheapest(candidates) : this->chooseWithoutFleetOutcomes(candidates, costs, now)).registration;
}

void InstanceSelector::updateGrayState(InstanceState &state, const std::string &service, SteadyTime now) const
{
    const double probability = state.gray.probability(now, this->options.model);
    const bool isGray = probability >= assumedGrayProbability;
    if (isGray != state.isAssumedGray && this->options.grayStateChanged) {
        this->options.grayStateChanged({state.id, service, isGray, probability, state.inFlight()});
    }
    state.isAssumedGray = isGray;
}

InstanceSelector::RequestCosts InstanceSelector::requestCosts(const InstanceQuery &query, std::size_t responseBytes) const
{
    RequestCosts costs;
    costs.failureDomain = query.failureDomain.empty() ? this->options.ownFailureDomain : query.failureDomain;
    costs.failure = query.idempotent && query.mayRetry ? retryableFailureCost : 1;
    const double kilobytes = static_cast<double>(query.requestBytes + responseBytes) / bytesPerKilobyte;
    costs.crossDomain = this->options.crossDomainCost + this->options.crossDomainCostOfKilobyte * kilobytes;
    return costs;
}

void InstanceSelector::countHangingRequests(InstanceState &state, Service &service, SteadyTime now)
{
    const Milliseconds limit = hangTimeout(service);
    std::size_t hanging = 0;
    for (InFlightRequests *requests : {&state.ownRequests, &state.otherRequests}) {
        requests->removeExpired(maximumRequestAge, now);
        hanging += requests->takeHanging(limit, now);
    }
    for (std::size_t count = 0; count < hanging; ++count) {
        // Counts as unserved now, since the outcome of a hanging request arrives only seconds later.
        service.unserved += 1;
        service.ended += 1;
        state.gray.addFailure(now, this->options.model);
        state.lastFailure = now;
        state.lastHang = now;
    }
}

double InstanceSelector::costOf(
    const RelayMessages::Registration &registration, const InstanceState &state, const Service &service, const RequestCosts &costs, SteadyTime now) const
{
    const double gray = state.gray.probability(now, this->options.model);
    const double inFlight = static_cast<double>(state.inFlight());
    const double slots = std::max<std::uint32_t>(1, registration.slots());
    double cost = costs.failure * gray * (this->options.model.grayFailureShare + sharedFailureCost * inFlight) + inFlightCost * inFlight;
    cost += queueingCost * std::max(0.0, inFlight + 1 - slots);
    if (state.latency.count() > 0 && service.latency.count() > 0) {
        cost += std::clamp(highLatencyCost * (state.latency / service.latency - 1.3), 0.0, maximumHighLatencyCost);
    }
    cost += registration.failure_domain() == costs.failureDomain ? 0 : costs.crossDomain;
    cost += now < state.fullUntil ? fullInstanceCost : 0;
    // Far above the usual costs, so that an unreachable instance is chosen only when no other one is left.
    cost += now < state.unreachableUntil ? 10 : 0;
    const bool cold = registration.warmup_milliseconds() > 0 && !state.lastSuccess;
    return cost + (cold ? coldStartCost : 0);
}

InstanceSelector::Candidate InstanceSelector::cheapest(std::vector<Candidate> &candidates)
{
    // Starts at a random candidate, so that VMs with the same data choose different ones among instances of equal cost.
    const std::size_t first = static_cast<std::size_t>(this->options.random() % candidates.size());
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end());
    return *std::min_element(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.cost < right.cost; });
}

std::optional<InstanceSelector::Candidate> InstanceSelector::chooseIdle(
    const std::vector<Candidate> &candidates, const Service &service, const RequestCosts &costs, SteadyTime now)
{
    if (service.ended < 1 || service.unserved < unservedShareForSpreading * service.ended) {
        return std::nullopt;
    }
    std::set<std::string> failureDomains;
    for (const Candidate &candidate : candidates) {
        failureDomains.insert(candidate.registration->failure_domain());
    }
    // Only the VMs of an instance's own failure domain choose it at first, so each of them has to do so more often.
    const double ownWeight = static_cast<double>(failureDomains.size());
    std::vector<std::pair<double, Candidate>> idle;
    double totalWeight = 0;
    for (const Candidate &candidate : candidates) {
        const bool isOwnDomain = candidate.registration->failure_domain() == costs.failureDomain;
        Milliseconds time = isOwnDomain ? idleTime : idleTimeOfOtherDomain;
        if (isFull(*candidate.registration, *candidate.state)) {
            // Until then, the requests that are counted there may be in flight. Later, the ends of some were lost.
            time = std::max(time, hangTimeout(service));
        }
        if (isIdle(*candidate.state, time, now) && !hasFailedRecently(*candidate.state, now) && now >= candidate.state->unreachableUntil) {
            totalWeight += isOwnDomain ? ownWeight : 1;
            idle.emplace_back(totalWeight, candidate);
        }
    }
    // All VMs see the same idle instances and hear of each other's choices late. So each chooses by chance, and as often as its requests are a part of all.
    const std::chrono::duration<double> choiceTime = idleChoiceTime;
    const std::chrono::duration<double> countedTime = unservedDecayTime;
    const double requestsInChoiceTime = service.ended * (choiceTime / countedTime);
    const double randomFraction = static_cast<double>(this->options.random() % randomSteps) / randomSteps;
    const double drawn = randomFraction * std::max(totalWeight, requestsInChoiceTime);
    const auto chosen = std::find_if(idle.begin(), idle.end(), [drawn](const std::pair<double, Candidate> &candidate) { return drawn < candidate.first; });
    return chosen == idle.end() ? std::nullopt : std::optional<Candidate>(chosen->second);
}

bool InstanceSelector::isFull(const RelayMessages::Registration &registration, const InstanceState &state)
{
    const double slots = std::max<std::uint32_t>(1, registration.slots());
    return static_cast<double>(state.inFlight()) >= maximumOccupancy * slots;
}

std::chrono::duration<double, std::milli> InstanceSelector::hangTimeout(const Service &service)
{
    return std::max(minimumHangTimeout, service.latency * hangingFactor);
}

bool InstanceSelector::isIdle(const InstanceState &state, std::chrono::duration<double, std::milli> time, SteadyTime now)
{
    return !state.lastStart || now - *state.lastStart >= time;
}

bool InstanceSelector::hasFailedRecently(const InstanceState &state, SteadyTime now)
{
    // A request that hung and then succeeded was slow.
    const bool wasSlow = state.lastHang == state.lastFailure && state.lastSuccess > state.lastHang;
    return state.lastFailure && now - *state.lastFailure < recentFailureWindow && !wasSlow;
}

InstanceSelector::Candidate InstanceSelector::chooseWithoutFleetOutcomes(std::vector<Candidate> &candidates, const RequestCosts &costs, SteadyTime now)
{
    const auto isUnhealthy = [now](const Candidate &candidate) { return now < candidate.state->unreachableUntil || hasFailedRecently(*candidate.state, now); };
    if (!std::all_of(candidates.begin(), candidates.end(), isUnhealthy)) {
        std::erase_if(candidates, isUnhealthy);
    }
    for (Candidate &candidate : candidates) {
        const bool isOtherDomain = candidate.registration->failure_domain() != costs.failureDomain;
        const double randomFraction = static_cast<double>(this->options.random() % randomSteps) / randomSteps;
        candidate.cost
            = randomFraction * maximumRandomCost + (isOtherDomain ? costs.crossDomain : 0) + queueingCost * static_cast<double>(candidate.state->inFlight());
    }
    return this->cheapest(candidates);
}

void InstanceSelector::decay(Service &service, SteadyTime now)
{
    const std::chrono::duration<double> age = now - service.decayedAt;
    const std::chrono::duration<double> decayTime = unservedDecayTime;
    const double factor = std::exp(-age.count() / decayTime.count());
    service.unserved *= factor;
    service.ended *= factor;
    service.decayedAt = now;
}

std::string InstanceSelector::describeInstance(const std::string &instanceId, SteadyTime now) const
{
    const RelayMessages::Registration *registration = this->instances.find(instanceId);
    const auto state = registration == nullptr ? this->states.end() : this->states.find(InstanceTable::handleOf(*registration));
    if (state == this->states.end()) {
        return "gone";
    }
    const double gray = state->second.gray.probability(now, this->options.model);
    const std::optional<double> limit = state->second.restrictions.limit().requestsPerSecond();
    return "gray=" + std::to_string(gray).substr(0, 4) + " in_flight=" + std::to_string(state->second.inFlight()) + " own_in_flight="
        + std::to_string(state->second.ownRequests.count()) + " success_age_ms=" + std::to_string(ageMilliseconds(state->second.lastSuccess, now))
        + " failure_age_ms=" + std::to_string(ageMilliseconds(state->second.lastFailure, now)) + (limit ? " limit=" + std::to_string(*limit) : "");
}

std::optional<IdleInstances> InstanceSelector::takeIdleInstances(const std::string &service, SteadyTime now)
{
    Service &counts = this->services[service];
    if (now - counts.idleReportedAt < idleReportInterval) {
        return std::nullopt;
    }
    decay(counts, now);
    if (counts.ended < 1 || counts.unserved < unservedShareForReport * counts.ended) {
        return std::nullopt;
    }
    counts.idleReportedAt = now;
    IdleInstances result;
    result.service = service;
    result.unservedShare = counts.unserved / counts.ended;
    bool isLongestEligible = false;
    for (const std::pair<const std::string, RelayMessages::Registration> &entry : this->instances.all()) {
        const auto state = this->states.find(InstanceTable::handleOf(entry.second));
        if (entry.second.service() != service || entry.second.state() != RelayMessages::REGISTRATION_STATE_READY || state == this->states.end()) {
            continue;
        }
        ++result.ready;
        if (!isIdle(state->second, idleTime, now)) {
            continue;
        }
        const bool isEligible = this->countIdle(entry.second, state->second, result, now);
        const std::chrono::milliseconds idleFor(ageMilliseconds(state->second.lastStart, now));
        if (result.longestIdle.empty() || std::pair(isEligible, idleFor) > std::pair(isLongestEligible, result.longestIdleTime)) {
            isLongestEligible = isEligible;
            result.longestIdle = entry.first;
            result.longestIdleTime = idleFor;
        }
    }
    return result.idle > 0 ? std::optional<IdleInstances>(result) : std::nullopt;
}

bool InstanceSelector::countIdle(const RelayMessages::Registration &registration, const InstanceState &state, IdleInstances &counts, SteadyTime now) const
{
    ++counts.idle;
    if (!state.restrictions.takesRequests(now)) {
        ++counts.restricted;
    } else if (isFull(registration, state)) {
        ++counts.full;
    } else if (now < state.unreachableUntil) {
        ++counts.unreachable;
    } else if (hasFailedRecently(state, now)) {
        ++counts.failed;
    } else {
        ++counts.costly;
        return true;
    }
    return false;
}

void InstanceSelector::forgetUnreachable(std::uint32_t handle)
{
    InstanceState *state = this->findState(handle);
    if (state != nullptr) {
        state->unreachableUntil = SteadyTime();
        state->unreachableBackoff = std::chrono::milliseconds(0);
    }
}

bool InstanceSelector::hasSucceededSince(std::uint32_t handle, SteadyTime time) const
{
    const auto known = this->states.find(handle);
    return known != this->states.end() && known->second.lastSuccess && *known->second.lastSuccess >= time;
}

const InstanceTable &InstanceSelector::table() const
{
    return this->instances;
}

} // namespace Hyssophall
