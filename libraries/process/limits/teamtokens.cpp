#include "process/limits/teamtokens.h"

#include <algorithm>
#include <cmath>

namespace Hyssophall {

namespace {

/// Far above any batch. A value beyond it, infinity or NaN is no loan; converting it to a whole number would be undefined.
constexpr double largestLoan = 1e9;

std::size_t tokenCount(double lent)
{
    return lent >= 1 && lent <= largestLoan ? static_cast<std::size_t>(lent) : 0;
}

} // namespace

TeamTokens::TeamTokens(const Options &options, SteadyTime now)
    : options(options)
    , borrowed(now)
    , lastUse(now)
    , windowStart(now)
    , earliestAsk(now)
    , verdictTime(now)
{
}

bool TeamTokens::tryTake(SteadyTime now)
{
    ++this->windowCount;
    this->lastUse = now;
    if (now > this->borrowed + this->options.lifetime) {
        this->tokens = 0;
    }
    if (this->tokens == 0 || !this->waiters.empty()) {
        return false;
    }
    --this->tokens;
    return true;
}

void TeamTokens::enqueue(TokenWaiter &waiter, SteadyTime now)
{
    waiter.since = now;
    this->waiters.push_back(&waiter);
}

void TeamTokens::remove(TokenWaiter &waiter)
{
    this->waiters.remove(&waiter);
}

void TeamTokens::giveBack(SteadyTime now)
{
    this->lastUse = now;
    if (now > this->borrowed + this->options.lifetime) {
        this->tokens = 0;
        this->borrowed = now;
    }
    ++this->tokens;
    this->serveWaiters();
}

void TeamTokens::serveWaiters()
{
    while (this->tokens > 0 && !this->waiters.empty()) {
        --this->tokens;
        TokenWaiter *waiter = this->waiters.front();
        this->waiters.pop_front();
        waiter->granted = true;
        waiter->changed.notify_one();
    }
}

bool TeamTokens::shouldWake()
{
    const bool low = !this->waiters.empty() || this->tokens < this->target() / 2;
    if (!low || this->woken || this->asking) {
        return false;
    }
    this->woken = true;
    return true;
}

void TeamTokens::updateDemand(SteadyTime now)
{
    const double spans = std::chrono::duration<double>(now - this->windowStart) / std::chrono::duration<double>(this->options.batchSpan);
    if (spans < 1) {
        return;
    }
    const double remaining = std::pow(0.5, spans);
    this->demand = this->demand * remaining + static_cast<double>(this->windowCount) / spans * (1 - remaining);
    this->windowStart = now;
    this->windowCount = 0;
}

std::size_t TeamTokens::target() const
{
    // A team with few calls here borrows only for callers that wait, so that no token lies at a VM that doesn't need it.
    return std::max(this->waiters.size(), static_cast<std::size_t>(this->demand + 0.5));
}

TeamTokens::Ask TeamTokens::plan(SteadyTime now) const
{
    Ask ask;
    const std::size_t target = this->target();
    if (this->asking) {
        return ask;
    }
    if (this->waiters.empty() && now >= this->lastUse + this->options.idleTime) {
        ask.returned = static_cast<double>(this->tokens);
    } else if (this->tokens > 2 * target + 2) {
        ask.returned = static_cast<double>(this->tokens - target);
    } else if ((!this->waiters.empty() || this->tokens < target / 2 + target % 2) && now >= this->earliestAsk) {
        ask.wanted = static_cast<double>(target - std::min(target, this->tokens));
    }
    return ask;
}

bool TeamTokens::isDue(SteadyTime now)
{
    this->updateDemand(now);
    this->woken = false;
    const Ask ask = this->plan(now);
    return ask.wanted > 0 || ask.returned > 0;
}

std::optional<TeamTokens::Ask> TeamTokens::ask(SteadyTime now)
{
    const Ask ask = this->plan(now);
    if (ask.returned == 0 && ask.wanted == 0) {
        return std::nullopt;
    }
    this->tokens -= static_cast<std::size_t>(ask.returned);
    this->asking = true;
    return ask;
}

void TeamTokens::takeLoan(const hyssophall::fleet::v1::TokenLoan &loan, SteadyTime asked, SteadyTime now)
{
    if (!loan.owned()) {
        this->takeFailure(now);
        return;
    }
    this->asking = false;
    const std::size_t lent = tokenCount(loan.lent());
    if (lent > 0) {
        this->tokens = (now > this->borrowed + this->options.lifetime ? 0 : this->tokens) + lent;
        this->borrowed = asked;
        this->serveWaiters();
    }
    const std::chrono::milliseconds wait(loan.wait_milliseconds());
    this->verdict = RateDecision{RateDecision::Kind::RateLimited, wait};
    this->verdictTime = now;
    this->earliestAsk = now;
    if (wait.count() > 0) {
        this->earliestAsk += std::clamp(wait, this->options.shortestPause, this->options.longestPause);
    }
}

void TeamTokens::takeFailure(SteadyTime now)
{
    this->asking = false;
    this->verdict = RateDecision{RateDecision::Kind::Unavailable, std::chrono::milliseconds(0)};
    this->verdictTime = now;
    this->failure = now;
    this->earliestAsk = now + this->options.failurePause;
}

std::optional<SteadyTime> TeamTokens::lastFailure() const
{
    return this->failure;
}

RateDecision TeamTokens::refusal(const TokenWaiter &waiter, SteadyTime now) const
{
    // An answer from before the wait says nothing about the owner's bucket during it, and an old one nothing about its end.
    const bool speaksForOwner = this->verdictTime >= waiter.since && now - this->verdictTime <= this->options.verdictLife;
    return speaksForOwner ? this->verdict : RateDecision{};
}

bool TeamTokens::hasWaiters() const
{
    return !this->waiters.empty();
}

SteadyTime TeamTokens::nextAsk() const
{
    return this->earliestAsk;
}

bool TeamTokens::isIdle(SteadyTime now) const
{
    return this->tokens == 0 && this->waiters.empty() && !this->asking && now >= this->lastUse + 2 * this->options.idleTime;
}

} // namespace Hyssophall
