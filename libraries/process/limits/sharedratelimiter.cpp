#include "process/limits/sharedratelimiter.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// No caller is told to come back sooner; a shorter wait would only cost it a connection.
constexpr std::chrono::milliseconds shortestRetryAfter{50};
constexpr std::chrono::milliseconds longestRetryAfter{5000};
/// Requests that others admitted before this VM could know put a bucket below zero, by this much at most.
constexpr double largestDebtInSeconds = 1;
/// Below this share of its limit, a team is likely to reach it, so that the others must know at once what was admitted.
constexpr double scarceShare = 0.6;
/// A VM that hears less of the fleet has parts too small to be spread over a window.
constexpr double togetherShare = 0.9;
/// Part of a team's rate that VMs admit which don't know what a whole window held.
constexpr double youngRatePart = 0.75;
/// Part of the deployment's tolerance that VMs use which hear nobody. The rest covers what is admitted before VMs notice that they don't hear
/// each other.
constexpr double alonePart = 0.7;
/// Part of the deployment's tolerance that VMs use which don't know a whole window. The fleet may be lost twice within one.
constexpr double youngTolerancePart = 0.5;
/// Length of the window that is kept, and not used, where limits aren't counted over windows.
constexpr std::chrono::milliseconds unusedWindow{1000};

} // namespace

SharedRateLimiter::SharedRateLimiter(Options options, Hooks hooks)
    : options(options)
    , hooks(std::move(hooks))
    , history(options.window.count() > 0 ? options.window : unusedWindow, this->hooks.clock())
{
}

RateDecision SharedRateLimiter::acquire(const std::string &name, SteadyTime deadline)
{
    const TeamRate whole = this->hooks.rateOf(name);
    if (whole.rate <= 0) {
        return {RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto isDecided = [this, &name, &whole] {
        const Room room = this->roomOf(name, whole, this->view());
        return room.tokens < 1 || room.unconfirmedLeft >= 1;
    };
    if (!isDecided()) {
        const SteadyTime::duration left = std::max(SteadyTime::duration(0), deadline - this->hooks.deadlineClock());
        this->confirmed.wait_for(lock, std::min<SteadyTime::duration>(this->options.confirmationWait, left), isDecided);
    }
    AdmissionHistory::View view = this->view();
    Room room = this->roomOf(name, whole, view);
    if (room.tokens >= 1 && room.unconfirmedLeft < 1) {
        // The relay doesn't confirm, so what is left may have been admitted elsewhere by now.
        view.visibleShare = view.ownShare;
        room = this->roomInWindow(name, this->teamOf(name, view.now), whole, view);
    }
    if (room.tokens < 1) {
        return {RateDecision::Kind::RateLimited, std::clamp(room.wait, shortestRetryAfter, longestRetryAfter), this->groundsOf(name, room, whole)};
    }
    return this->grant(name, whole, room, view);
}

void SharedRateLimiter::giveBack(const std::string &)
{
}

void SharedRateLimiter::admittedElsewhere(const std::string &name, std::uint32_t count)
{
    const TeamRate whole = this->hooks.rateOf(name);
    if (whole.rate <= 0) {
        return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    const AdmissionHistory::View view = this->view();
    Team &team = this->teamOf(name, view.now);
    this->roomInBucket(team.bucket, whole, view);
    team.bucket.tokens = std::max(team.bucket.tokens - count, -largestDebtInSeconds * view.visibleShare * whole.rate);
    this->history.add(name, count, view.now);
}

void SharedRateLimiter::confirm(std::uint64_t number)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->hooks.clock();
        for (std::pair<const std::string, Team> &entry : this->teams) {
            const std::size_t confirmedHere
                = std::erase_if(entry.second.unconfirmed, [number](const Unconfirmed &admission) { return admission.number <= number; });
            if (confirmedHere > 0) {
                this->history.add(entry.first, static_cast<std::uint32_t>(confirmedHere), now);
            }
        }
    }
    this->confirmed.notify_all();
}

std::map<std::string, std::uint32_t> SharedRateLimiter::takeUnconfirmed(std::uint64_t nextNumber)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, std::uint32_t> untold;
    for (std::pair<const std::string, Team> &entry : this->teams) {
        for (Unconfirmed &admission : entry.second.unconfirmed) {
            if (admission.number < nextNumber) {
                admission.number = 0;
                ++untold[entry.first];
            }
        }
    }
    return untold;
}

void SharedRateLimiter::noteHeard(SteadyTime from, SteadyTime to, double share)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->history.noteHeard(from, to, share);
}

AdmissionRecord SharedRateLimiter::record() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->history.record(this->hooks.clock());
}

void SharedRateLimiter::fillGaps(const AdmissionRecord &record)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->history.fillGaps(record, this->hooks.clock());
}

std::string SharedRateLimiter::groundsOf(const std::string &name, const Room &room, const TeamRate &whole) const
{
    const std::optional<std::chrono::milliseconds> age = this->hooks.knowledgeAge();
    const auto team = this->teams.find(name);
    const std::size_t unconfirmed = team == this->teams.end() ? 0 : team->second.unconfirmed.size();
    return "tokens=" + std::to_string(room.tokens) + " rate=" + std::to_string(whole.rate) + " burst=" + std::to_string(whole.burst)
        + " visible_share=" + std::to_string(room.visibleShare) + " knowledge_age_ms=" + (age ? std::to_string(age->count()) : "none")
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

SharedRateLimiter::Team &SharedRateLimiter::teamOf(const std::string &name, SteadyTime now)
{
    Team &team = this->teams[name];
    const std::chrono::milliseconds kept = this->isWindowed() ? this->options.window : unusedWindow;
    while (!team.unconfirmed.empty() && team.unconfirmed.front().at <= now - kept) {
        team.unconfirmed.pop_front();
    }
    return team;
}

RateDecision SharedRateLimiter::grant(const std::string &name, const TeamRate &whole, const Room &room, const AdmissionHistory::View &view)
{
    Team &team = this->teamOf(name, view.now);
    team.bucket.tokens -= 1;
    const bool isScarce = room.tokens - 1 < scarceShare * room.burst || room.unconfirmedLeft < 2;
    const std::string grounds = isScarce ? this->groundsOf(name, room, whole) : std::string();
    const std::optional<std::uint64_t> number = this->hooks.admitted(name, isScarce);
    if (number) {
        team.unconfirmed.push_back({view.now, *number});
    } else {
        this->history.add(name, 1, view.now);
    }
    return {RateDecision::Kind::Granted, std::chrono::milliseconds(0), grounds};
}

SharedRateLimiter::Room SharedRateLimiter::roomOf(const std::string &name, const TeamRate &whole, const AdmissionHistory::View &view)
{
    Team &team = this->teamOf(name, view.now);
    Room room = this->roomInBucket(team.bucket, whole, view);
    double left = room.tokens;
    if (this->isWindowed()) {
        const Room inWindow = this->roomInWindow(name, team, whole, view);
        left = inWindow.tokens;
        room = view.visibleShare < togetherShare || inWindow.tokens < room.tokens ? inWindow : room;
    }
    if (view.visibleShare > view.ownShare) {
        room.unconfirmedLeft = std::max(1.0, view.ownShare * left) - static_cast<double>(team.unconfirmed.size());
    } else {
        room.unconfirmedLeft = room.tokens;
    }
    return room;
}

SharedRateLimiter::Room SharedRateLimiter::roomInBucket(Bucket &bucket, const TeamRate &whole, const AdmissionHistory::View &view) const
{
    const std::chrono::duration<double> window = this->options.window;
    const double rate = view.visibleShare * (whole.rate + (this->isWindowed() ? whole.burst / window.count() : 0));
    // A VM that is alone must still be able to admit a request.
    const double burst = std::max(1.0, view.visibleShare * whole.burst);
    if (bucket.isNew) {
        bucket = {burst, view.now, false};
    }
    const std::chrono::duration<double> passed = view.now - bucket.filled;
    bucket.tokens = std::min(burst, bucket.tokens + rate * passed.count());
    bucket.filled = view.now;
    const std::chrono::duration<double> wait(std::max(0.0, (1 - bucket.tokens) / rate));
    return {bucket.tokens, burst, std::chrono::duration_cast<std::chrono::milliseconds>(wait), view.visibleShare, 0};
}

SharedRateLimiter::Room SharedRateLimiter::roomInWindow(const std::string &name, const Team &team, const TeamRate &whole, const AdmissionHistory::View &view)
{
    const std::chrono::duration<double> length = this->options.window;
    const double left = this->leftInWindow(name, team, whole, view);
    const std::chrono::milliseconds wait = left >= 1 ? std::chrono::milliseconds(0) : this->history.timeUntilFreed(1 - left, name, whole, view);
    return {left, view.visibleShare * (whole.rate * length.count() + whole.burst), wait, view.visibleShare, left};
}

double SharedRateLimiter::leftInWindow(const std::string &name, const Team &team, const TeamRate &whole, const AdmissionHistory::View &view)
{
    const std::chrono::duration<double> length = this->options.window;
    const double limit = whole.rate * length.count() + whole.burst;
    const double tolerance = this->options.overage * limit + this->options.slack;
    const double unconfirmed = static_cast<double>(team.unconfirmed.size());
    const double charged = this->history.charged(name, whole, view) + unconfirmed;
    const std::chrono::duration<double> known = this->history.knownTime(view.now);
    if (known < length) {
        // The team may have used its limit before anything is known, its burst at the last moment.
        const double ofRate = youngRatePart * whole.rate * known.count();
        const double ofLimit = limit / length.count() * known.count() - whole.burst;
        const double part = view.visibleShare * std::max(ofRate, youngTolerancePart * tolerance + std::min(ofRate, std::max(0.0, ofLimit)));
        const double usedBefore = view.visibleShare * limit * (length - known) / length;
        return part - (charged - usedBefore);
    }
    const bool isAlone = view.visibleShare <= view.ownShare;
    const double part = view.visibleShare * (limit + (isAlone ? alonePart * tolerance : 0));
    return std::max(1.0, part) - charged;
}

} // namespace Hyssophall
