#include "process/limits/sharedratelimiter.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Lower bound of Retry-After. A shorter wait would gain the caller nothing and cost it a connection.
constexpr std::chrono::milliseconds minimumRetryAfter{50};
constexpr std::chrono::milliseconds maximumRetryAfter{5000};
/// A bucket may become negative by admissions that other VMs made before this VM learned of them. The debt is limited to what accrues in this time.
constexpr double maximumDebtInSeconds = 1;
/// Tokens are scarce below this share of the burst or of the window's limit. The team is then likely to reach its limit, so the other VMs must learn
/// of its admissions at once.
constexpr double scarceThreshold = 0.6;
/// With a smaller visible share, only the window's limit applies and not the bucket: the shares are too small to be spread over the window.
constexpr double minimumBucketShare = 0.9;
/// Part of a team's rate that VMs admit while their history doesn't cover a whole window.
constexpr double partialHistoryRatePart = 0.75;
/// Part of the deployment's tolerance that VMs use while they see no other VM. The rest covers what VMs admit before they notice that they are
/// isolated.
constexpr double isolatedTolerancePart = 0.7;
/// Part of the deployment's tolerance that VMs use while their history doesn't cover a whole window. It is a half, because all processes of the
/// fleet may be lost twice within one window.
constexpr double partialHistoryTolerancePart = 0.5;
/// How long a VM that lost its stream goes by what it knew: moves take up to 0.9 s, and the latest confirmation before is up to 0.3 s old.
constexpr std::chrono::milliseconds knowledgeLifetime{1200};
/// Largest use of a team, as a part of its limit, with which it may be admitted by aging knowledge.
constexpr double maximumAgingUse = 0.5;
/// Largest use with which requests wait for a connection. Waiting admits nothing, so it may be higher.
constexpr double maximumWaitingUse = 0.75;
/// Requests that a team may have sent unheard of since the knowledge's time, as a multiple of its rate. It is twice the worst known flood.
constexpr double assumedFloodFactor = 16;
/// Part of the deployment's tolerance on which aging knowledge may draw.
constexpr double agingTolerancePart = 0.7;
/// Waiting requests hold threads, so their number is limited.
constexpr int maximumWaitingForKnowledge = 32;
/// Requests that waited are spread over this time: several times as long as an admission takes to arrive at the other VMs.
constexpr std::chrono::milliseconds releaseSpread{200};
constexpr std::chrono::milliseconds knowledgeCheckInterval{10};
/// Length of the history where limits aren't counted over windows. It isn't used for decisions there.
constexpr std::chrono::milliseconds unusedHistoryLength{1000};

} // namespace

SharedRateLimiter::SharedRateLimiter(Options options, Hooks hooks)
    : options(options)
    , hooks(std::move(hooks))
    , history(options.window.count() > 0 ? options.window : unusedHistoryLength, this->hooks.clock())
    , replicatedUntil(this->hooks.clock())
{
}

RateDecision SharedRateLimiter::acquire(const std::string &name, SteadyTime deadline)
{
    const TeamRate fleetRate = this->hooks.teamRate(name);
    if (fleetRate.rate <= 0) {
        return {RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    this->waitForKnowledge(lock, name, fleetRate, deadline);
    const auto canDecide = [this, &name, &fleetRate] { return !this->mustWaitForConfirmation(name, fleetRate); };
    if (!canDecide()) {
        const SteadyTime::duration remaining = std::max(SteadyTime::duration(0), deadline - this->hooks.deadlineClock());
        this->confirmationReceived.wait_for(lock, std::min<SteadyTime::duration>(this->options.confirmationWait, remaining), canDecide);
    }
    AdmissionHistory::View view = this->view();
    Allowance allowance = this->allowanceOf(name, fleetRate, view);
    if (allowance.tokens >= 1 && allowance.remainingUnconfirmed < 1) {
        // The relay hasn't confirmed in time, so other VMs may have admitted the rest. Decide as if no other VM were visible.
        view.visibleShare = view.ownShare;
        allowance = this->allowanceInWindow(name, this->teamOf(name, view.now), fleetRate, view);
    }
    if (allowance.tokens < 1) {
        return {RateDecision::Kind::RateLimited, std::clamp(allowance.wait, minimumRetryAfter, maximumRetryAfter), this->detailsOf(name, allowance, fleetRate)};
    }
    return this->grant(name, fleetRate, allowance, view);
}

bool SharedRateLimiter::mustWaitForKnowledge(const std::string &name, bool hasWaited)
{
    const TeamRate fleetRate = this->hooks.teamRate(name);
    std::lock_guard<std::mutex> lock(this->mutex);
    return fleetRate.rate > 0 && this->mustWaitForKnowledge(name, fleetRate, hasWaited);
}

void SharedRateLimiter::returnToken(const std::string &)
{
}

void SharedRateLimiter::addRemoteAdmissions(const std::string &name, std::uint32_t count)
{
    const TeamRate fleetRate = this->hooks.teamRate(name);
    if (fleetRate.rate <= 0) {
        return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    const AdmissionHistory::View view = this->view();
    Team &team = this->teamOf(name, view.now);
    this->allowanceInBucket(team.bucket, fleetRate, view);
    team.bucket.tokens = std::max(team.bucket.tokens - count, -maximumDebtInSeconds * view.visibleShare * fleetRate.rate);
    this->history.add(name, count, view.now);
}

void SharedRateLimiter::confirm(std::uint64_t number)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (std::pair<const std::string, Team> &entry : this->teams) {
            std::erase_if(entry.second.unconfirmed, [this, &entry, number](const Unconfirmed &admission) {
                if (admission.number <= number) {
                    this->history.add(entry.first, 1, admission.at);
                    entry.second.unreplicated.push_back(admission);
                }
                return admission.number <= number;
            });
        }
    }
    this->confirmationReceived.notify_all();
}

void SharedRateLimiter::confirmReplicated(std::uint64_t number, SteadyTime sentAt)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->replicatedUntil = std::max(this->replicatedUntil, sentAt);
    for (std::pair<const std::string, Team> &entry : this->teams) {
        std::erase_if(entry.second.unreplicated, [number](const Unconfirmed &admission) { return admission.number <= number; });
    }
}

UnreportedAdmissions SharedRateLimiter::collectUnreported(const std::function<void()> &dropQueuedReports)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->hooks.clock();
    dropQueuedReports();
    UnreportedAdmissions unreported;
    unreported.fromAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - std::min(now, this->replicatedUntil));
    for (std::pair<const std::string, Team> &entry : this->teams) {
        this->teamOf(entry.first, now);
        for (std::deque<Unconfirmed> *admissions : {&entry.second.unreplicated, &entry.second.unconfirmed}) {
            for (Unconfirmed &admission : *admissions) {
                admission.number = 0;
                unreported.admitted[entry.first].push_back({std::chrono::duration_cast<std::chrono::milliseconds>(now - admission.at), 1});
            }
        }
    }
    return unreported;
}

void SharedRateLimiter::addUnreported(const UnreportedAdmissions &unreported)
{
    if (!this->isWindowed()) {
        for (const std::pair<const std::string, std::vector<AdmissionRecord::Admissions>> &entry : unreported.admitted) {
            for (const AdmissionRecord::Admissions &admitted : entry.second) {
                this->addRemoteAdmissions(entry.first, admitted.count);
            }
        }
        return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    this->history.addUnreported(unreported, this->hooks.ownShare(), this->hooks.clock());
}

void SharedRateLimiter::recordVisibleShare(SteadyTime from, SteadyTime to, double share)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->history.recordVisibleShare(from, to, share);
}

AdmissionRecord SharedRateLimiter::record() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->history.record(this->hooks.clock());
}

void SharedRateLimiter::limitVisibleShare(SteadyTime from, double share)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->history.limitVisibleShare(from, share);
}

void SharedRateLimiter::adopt(const AdmissionRecord &record)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->hooks.clock();
    this->history.adopt(record, now);
    for (const std::pair<const std::string, Team> &entry : this->teams) {
        for (const Unconfirmed &admission : entry.second.unreplicated) {
            // The relay made its record before it read what this VM reports.
            if (AdmissionHistory::covers(record, now - admission.at)) {
                this->history.add(entry.first, 1, admission.at);
            }
        }
    }
}

std::string SharedRateLimiter::detailsOf(const std::string &name, const Allowance &allowance, const TeamRate &fleetRate) const
{
    const std::optional<std::chrono::milliseconds> age = this->hooks.knowledgeAge();
    const auto team = this->teams.find(name);
    const std::size_t unconfirmed = team == this->teams.end() ? 0 : team->second.unconfirmed.size();
    return "tokens=" + std::to_string(allowance.tokens) + " rate=" + std::to_string(fleetRate.rate) + " burst=" + std::to_string(fleetRate.burst)
        + " visible_share=" + std::to_string(allowance.visibleShare) + " knowledge_age_ms=" + (age ? std::to_string(age->count()) : "none")
        + " unconfirmed=" + std::to_string(unconfirmed);
}

bool SharedRateLimiter::isWindowed() const
{
    return this->options.window.count() > 0;
}

AdmissionHistory::View SharedRateLimiter::view() const
{
    const double ownShare = this->hooks.ownShare();
    return {std::max(ownShare, this->hooks.visibleShare()), ownShare, this->hooks.clock()};
}

bool SharedRateLimiter::mustWaitForConfirmation(const std::string &name)
{
    const TeamRate fleetRate = this->hooks.teamRate(name);
    std::lock_guard<std::mutex> lock(this->mutex);
    return fleetRate.rate > 0 && this->mustWaitForConfirmation(name, fleetRate);
}

bool SharedRateLimiter::mustWaitForConfirmation(const std::string &name, const TeamRate &fleetRate)
{
    const Allowance allowance = this->allowanceOf(name, fleetRate, this->view());
    return allowance.tokens >= 1 && allowance.remainingUnconfirmed < 1;
}

bool SharedRateLimiter::mustWaitForKnowledge(const std::string &name, const TeamRate &fleetRate, bool hasWaited)
{
    const AdmissionHistory::View view = this->view();
    if (this->ageAfterLoss(view)) {
        this->releasedAt.reset();
        if (this->allowanceOf(name, fleetRate, view).tokens >= 1) {
            return false;
        }
        const std::chrono::duration<double> length = this->options.window;
        const double limit = fleetRate.rate * length.count() + fleetRate.burst;
        return this->lastKnownUse(name, this->teamOf(name, view.now), fleetRate, view) <= maximumWaitingUse * limit;
    }
    if (!hasWaited || view.visibleShare <= view.ownShare) {
        return false;
    }
    if (!this->releasedAt) {
        const std::uint64_t random = this->hooks.random ? this->hooks.random() : 0;
        this->releasedAt = view.now + std::chrono::milliseconds(random % static_cast<std::uint64_t>(releaseSpread.count()));
    }
    return view.now < *this->releasedAt;
}

void SharedRateLimiter::waitForKnowledge(std::unique_lock<std::mutex> &lock, const std::string &name, const TeamRate &fleetRate, SteadyTime deadline)
{
    if (this->waitingForKnowledge >= maximumWaitingForKnowledge || !this->mustWaitForKnowledge(name, fleetRate, false)) {
        return;
    }
    ++this->waitingForKnowledge;
    do {
        const SteadyTime::duration remaining = deadline - this->hooks.deadlineClock();
        if (remaining <= SteadyTime::duration::zero()) {
            break;
        }
        this->confirmationReceived.wait_for(lock, std::min<SteadyTime::duration>(knowledgeCheckInterval, remaining));
    } while (this->mustWaitForKnowledge(name, fleetRate, true));
    --this->waitingForKnowledge;
}

std::optional<std::chrono::milliseconds> SharedRateLimiter::ageAfterLoss(const AdmissionHistory::View &view) const
{
    if (!this->isWindowed() || view.ownShare >= 1 || view.visibleShare > view.ownShare) {
        return std::nullopt;
    }
    if (this->hooks.receivesUpdates && this->hooks.receivesUpdates()) {
        // It is alone on a relay that is partitioned from the others, for as long as that lasts.
        return std::nullopt;
    }
    const std::optional<std::chrono::milliseconds> age = this->hooks.knowledgeAge();
    return age && *age < knowledgeLifetime ? age : std::nullopt;
}

double SharedRateLimiter::lastKnownUse(const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view)
{
    const AdmissionHistory::View wholeFleet{1, view.ownShare, view.now};
    return this->history.chargedAdmissions(name, fleetRate, wholeFleet) + static_cast<double>(team.unconfirmed.size());
}

bool SharedRateLimiter::isAdmissibleAfterLoss(const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view)
{
    const std::optional<std::chrono::milliseconds> age = this->ageAfterLoss(view);
    if (!age || !team.unconfirmed.empty()) {
        return false;
    }
    const std::chrono::duration<double> length = this->options.window;
    const std::chrono::duration<double> unheardTime = *age;
    const double limit = fleetRate.rate * length.count() + fleetRate.burst;
    const double tolerance = this->options.overage * limit + this->options.slack;
    const double used = this->lastKnownUse(name, team, fleetRate, view);
    // If all VMs have lost their streams, each admits one request at most.
    const double unheard = std::min(1 / view.ownShare, assumedFloodFactor * fleetRate.rate * unheardTime.count());
    return used <= maximumAgingUse * limit && used + unheard + 1 <= limit + agingTolerancePart * tolerance;
}

SharedRateLimiter::Team &SharedRateLimiter::teamOf(const std::string &name, SteadyTime now)
{
    Team &team = this->teams[name];
    const std::chrono::milliseconds maximumAge = this->isWindowed() ? this->options.window : unusedHistoryLength;
    for (std::deque<Unconfirmed> *admissions : {&team.unconfirmed, &team.unreplicated}) {
        while (!admissions->empty() && admissions->front().at <= now - maximumAge) {
            admissions->pop_front();
        }
    }
    return team;
}

RateDecision SharedRateLimiter::grant(const std::string &name, const TeamRate &fleetRate, const Allowance &allowance, const AdmissionHistory::View &view)
{
    Team &team = this->teamOf(name, view.now);
    team.bucket.tokens -= 1;
    const bool isScarce = allowance.tokens - 1 < scarceThreshold * allowance.burst || allowance.remainingUnconfirmed < 2;
    const std::string details = isScarce ? this->detailsOf(name, allowance, fleetRate) : std::string();
    const std::optional<std::uint64_t> number = this->hooks.reportAdmission(name, isScarce);
    if (number) {
        team.unconfirmed.push_back({view.now, *number});
    } else {
        this->history.add(name, 1, view.now);
    }
    return {RateDecision::Kind::Granted, std::chrono::milliseconds(0), details};
}

SharedRateLimiter::Allowance SharedRateLimiter::allowanceOf(const std::string &name, const TeamRate &fleetRate, const AdmissionHistory::View &view)
{
    Team &team = this->teamOf(name, view.now);
    // A bucket isn't used after a loss, and a refill by the VM's own share would take the tokens that it has for the time after the next connection.
    Allowance allowance = this->ageAfterLoss(view) ? Allowance{} : this->allowanceInBucket(team.bucket, fleetRate, view);
    double remaining = allowance.tokens;
    if (this->isWindowed()) {
        const Allowance windowAllowance = this->allowanceInWindow(name, team, fleetRate, view);
        remaining = windowAllowance.tokens;
        allowance = view.visibleShare < minimumBucketShare || windowAllowance.tokens < allowance.tokens ? windowAllowance : allowance;
    }
    if (allowance.tokens < 1 && this->isAdmissibleAfterLoss(name, team, fleetRate, view)) {
        allowance.tokens = 1;
    }
    if (view.visibleShare > view.ownShare) {
        allowance.remainingUnconfirmed = std::max(1.0, view.ownShare * remaining) - static_cast<double>(team.unconfirmed.size());
    } else {
        allowance.remainingUnconfirmed = allowance.tokens;
    }
    return allowance;
}

SharedRateLimiter::Allowance SharedRateLimiter::allowanceInBucket(Bucket &bucket, const TeamRate &fleetRate, const AdmissionHistory::View &view) const
{
    const std::chrono::duration<double> window = this->options.window;
    const double rate = view.visibleShare * (fleetRate.rate + (this->isWindowed() ? fleetRate.burst / window.count() : 0));
    // Even an isolated VM must be able to admit one request.
    const double burst = std::max(1.0, view.visibleShare * fleetRate.burst);
    if (bucket.isNew) {
        bucket = {burst, view.now, false};
    }
    const std::chrono::duration<double> passed = view.now - bucket.lastRefill;
    bucket.tokens = std::min(burst, bucket.tokens + rate * passed.count());
    bucket.lastRefill = view.now;
    const std::chrono::duration<double> wait(std::max(0.0, (1 - bucket.tokens) / rate));
    return {bucket.tokens, burst, std::chrono::duration_cast<std::chrono::milliseconds>(wait), view.visibleShare, 0};
}

SharedRateLimiter::Allowance SharedRateLimiter::allowanceInWindow(
    const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view)
{
    const std::chrono::duration<double> length = this->options.window;
    const double remaining = this->remainingInWindow(name, team, fleetRate, view);
    const std::chrono::milliseconds wait = remaining >= 1 ? std::chrono::milliseconds(0) : this->history.timeUntilFreed(1 - remaining, name, fleetRate, view);
    return {remaining, view.visibleShare * (fleetRate.rate * length.count() + fleetRate.burst), wait, view.visibleShare, remaining};
}

double SharedRateLimiter::remainingInWindow(const std::string &name, const Team &team, const TeamRate &fleetRate, const AdmissionHistory::View &view)
{
    const std::chrono::duration<double> length = this->options.window;
    const double limit = fleetRate.rate * length.count() + fleetRate.burst;
    const double tolerance = this->options.overage * limit + this->options.slack;
    const double unconfirmed = static_cast<double>(team.unconfirmed.size());
    const double chargedAdmissions = this->history.chargedAdmissions(name, fleetRate, view) + unconfirmed;
    const std::chrono::duration<double> covered = this->history.coveredTime(view.now);
    if (covered < length) {
        // Assume that the team used its limit in the unknown part of the window, and its burst at the end of that part.
        const double accruedByRate = partialHistoryRatePart * fleetRate.rate * covered.count();
        const double accruedByLimit = limit / length.count() * covered.count() - fleetRate.burst;
        const double visiblePart
            = view.visibleShare * std::max(accruedByRate, partialHistoryTolerancePart * tolerance + std::min(accruedByRate, std::max(0.0, accruedByLimit)));
        const double usedBefore = view.visibleShare * limit * (length - covered) / length;
        return visiblePart - (chargedAdmissions - usedBefore);
    }
    const bool isIsolated = view.visibleShare <= view.ownShare;
    const double visiblePart = view.visibleShare * (limit + (isIsolated ? isolatedTolerancePart * tolerance : 0));
    return std::max(1.0, visiblePart) - chargedAdmissions;
}

} // namespace Hyssophall
