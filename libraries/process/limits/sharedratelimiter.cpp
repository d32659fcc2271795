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
/// Part of the deployment's tolerance that VMs use which hear nobody. They keep their own count exactly, and the rest covers VMs that were
/// added meanwhile.
constexpr double tolerancePart = 0.7;

} // namespace

SharedRateLimiter::SharedRateLimiter(Options options, Hooks hooks)
    : options(options)
    , hooks(std::move(hooks))
    , began(this->hooks.clock())
{
}

RateDecision SharedRateLimiter::acquire(const std::string &name, SteadyTime)
{
    const TeamRate whole = this->hooks.rateOf(name);
    if (whole.rate <= 0) {
        return {RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
    }
    const double visibleShare = this->hooks.visibleShare();
    bool isScarce = false;
    std::string grounds;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->hooks.clock();
        Team &team = this->teamOf(name);
        const Room room = this->roomOf(team, whole, visibleShare, now);
        if (room.tokens < 1) {
            return {RateDecision::Kind::RateLimited, std::clamp(room.wait, shortestRetryAfter, longestRetryAfter), this->groundsOf(room, whole, visibleShare)};
        }
        team.bucket.tokens -= 1;
        team.window.add(1, visibleShare, now);
        isScarce = room.tokens - 1 < scarceShare * room.burst;
        grounds = isScarce ? this->groundsOf(room, whole, visibleShare) : std::string();
    }
    this->hooks.admitted(name, isScarce);
    return {RateDecision::Kind::Granted, std::chrono::milliseconds(0), grounds};
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
    const double visibleShare = this->hooks.visibleShare();
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->hooks.clock();
    Team &team = this->teamOf(name);
    this->roomInBucket(team.bucket, whole, visibleShare, now);
    team.bucket.tokens = std::max(team.bucket.tokens - count, -largestDebtInSeconds * visibleShare * whole.rate);
    team.window.add(count, visibleShare, now);
}

std::string SharedRateLimiter::groundsOf(const Room &room, const TeamRate &whole, double visibleShare) const
{
    const std::optional<std::chrono::milliseconds> age = this->hooks.knowledgeAge();
    return "tokens=" + std::to_string(room.tokens) + " rate=" + std::to_string(whole.rate) + " burst=" + std::to_string(whole.burst)
        + " visible_share=" + std::to_string(visibleShare) + " knowledge_age_ms=" + (age ? std::to_string(age->count()) : "none");
}

bool SharedRateLimiter::isWindowed() const
{
    return this->options.window.count() > 0;
}

bool SharedRateLimiter::isFleetStarting(SteadyTime now) const
{
    const std::optional<std::chrono::milliseconds> relayUptime = this->hooks.relayUptime();
    return now - this->began < this->options.window && relayUptime && *relayUptime < this->options.window;
}

SharedRateLimiter::Team &SharedRateLimiter::teamOf(const std::string &name)
{
    // Without windows, their counts are kept and not used.
    const std::chrono::milliseconds window = this->isWindowed() ? this->options.window : std::chrono::milliseconds(1000);
    return this->teams.try_emplace(name, window, this->began).first->second;
}

SharedRateLimiter::Room SharedRateLimiter::roomOf(Team &team, const TeamRate &whole, double visibleShare, SteadyTime now) const
{
    const Room inBucket = this->roomInBucket(team.bucket, whole, visibleShare, now);
    if (!this->isWindowed()) {
        return inBucket;
    }
    if (this->isFleetStarting(now)) {
        // Nobody was admitted while the fleet was away, so the burst is there again.
        return inBucket;
    }
    const Room inWindow = this->roomInWindow(team.window, whole, visibleShare, now);
    return visibleShare < togetherShare || inWindow.tokens < inBucket.tokens ? inWindow : inBucket;
}

SharedRateLimiter::Room SharedRateLimiter::roomInBucket(Bucket &bucket, const TeamRate &whole, double visibleShare, SteadyTime now) const
{
    const std::chrono::duration<double> window = this->options.window;
    const double rate = visibleShare * (whole.rate + (this->isWindowed() ? whole.burst / window.count() : 0));
    // A VM that is alone must still be able to admit a request.
    const double burst = std::max(1.0, visibleShare * whole.burst);
    if (bucket.isNew) {
        bucket = {burst, now, false};
    }
    const std::chrono::duration<double> passed = now - bucket.filled;
    bucket.tokens = std::min(burst, bucket.tokens + rate * passed.count());
    bucket.filled = now;
    const std::chrono::duration<double> wait(std::max(0.0, (1 - bucket.tokens) / rate));
    return {bucket.tokens, burst, std::chrono::duration_cast<std::chrono::milliseconds>(wait)};
}

SharedRateLimiter::Room SharedRateLimiter::roomInWindow(AdmissionWindow &window, const TeamRate &whole, double visibleShare, SteadyTime now) const
{
    const std::chrono::duration<double> length = this->options.window;
    const double ownShare = this->hooks.ownShare();
    double limit = visibleShare * (whole.rate * length.count() + whole.burst);
    if (visibleShare <= ownShare) {
        limit = limit * (1 + tolerancePart * this->options.overage) + ownShare * tolerancePart * this->options.slack;
    }
    limit = std::max(1.0, limit);
    double left = limit - window.charged(whole, visibleShare, now);
    const std::chrono::duration<double> age = now - this->began;
    if (age < length) {
        // The team may have used its limit at the beginning of the window, which this VM takes for evenly used.
        left -= visibleShare * (whole.rate + whole.burst / length.count() - youngRatePart * whole.rate) * age.count();
    }
    const std::chrono::milliseconds wait = left >= 1 ? std::chrono::milliseconds(0) : window.timeUntilFreed(1 - left, whole, visibleShare, now);
    return {left, limit, wait};
}

} // namespace Hyssophall
