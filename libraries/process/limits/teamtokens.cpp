#include "process/limits/teamtokens.h"

#include <algorithm>
#include <cmath>

namespace Hyssophall {

namespace {

/// Far above any batch. Larger values, infinity and NaN count as no loan: converting them to an integer would be undefined behaviour.
constexpr double largestLoan = 1e9;

std::size_t tokenCount(double lent)
{
    return lent >= 1 && lent <= largestLoan ? static_cast<std::size_t>(lent) : 0;
}

} // namespace

TeamTokens::TeamTokens(const Options &options, SteadyTime now)
    : options(options)
    , borrowedAt(now)
    , lastUse(now)
    , measurementStart(now)
    , earliestRequest(now)
    , lastReplyTime(now)
{
}

bool TeamTokens::tryAcquire(SteadyTime now)
{
    ++this->measuredCalls;
    this->lastUse = now;
    if (now > this->borrowedAt + this->options.lifetime) {
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
    waiter.waitStart = now;
    this->waiters.push_back(&waiter);
}

void TeamTokens::remove(TokenWaiter &waiter)
{
    this->waiters.remove(&waiter);
}

void TeamTokens::returnToken(SteadyTime now)
{
    this->lastUse = now;
    if (now > this->borrowedAt + this->options.lifetime) {
        this->tokens = 0;
        this->borrowedAt = now;
    }
    ++this->tokens;
    this->grantTokens();
}

void TeamTokens::grantTokens()
{
    while (this->tokens > 0 && !this->waiters.empty()) {
        --this->tokens;
        TokenWaiter *waiter = this->waiters.front();
        this->waiters.pop_front();
        waiter->granted = true;
        waiter->condition.notify_one();
    }
}

bool TeamTokens::shouldWakeBorrower()
{
    const bool isLow = !this->waiters.empty() || this->tokens < this->targetTokens() / 2;
    if (!isLow || this->isWakeRequested || this->isRequestOpen) {
        return false;
    }
    this->isWakeRequested = true;
    return true;
}

void TeamTokens::updateDemand(SteadyTime now)
{
    const double periods = std::chrono::duration<double>(now - this->measurementStart) / std::chrono::duration<double>(this->options.batchPeriod);
    if (periods < 1) {
        return;
    }
    const double decay = std::pow(0.5, periods);
    this->expectedDemand = this->expectedDemand * decay + static_cast<double>(this->measuredCalls) / periods * (1 - decay);
    this->measurementStart = now;
    this->measuredCalls = 0;
}

std::size_t TeamTokens::targetTokens() const
{
    // A demand that rounds to zero borrows only for waiting callers, so that no token lies unused on a VM with little traffic of the team.
    return std::max(this->waiters.size(), static_cast<std::size_t>(this->expectedDemand + 0.5));
}

TeamTokens::TokenRequest TeamTokens::planRequest(SteadyTime now) const
{
    TokenRequest request;
    const std::size_t targetTokens = this->targetTokens();
    if (this->isRequestOpen) {
        return request;
    }
    if (this->waiters.empty() && now >= this->lastUse + this->options.idleTime) {
        request.returned = static_cast<double>(this->tokens);
    } else if (this->tokens > 2 * targetTokens + 2) {
        request.returned = static_cast<double>(this->tokens - targetTokens);
    } else if ((!this->waiters.empty() || this->tokens < targetTokens / 2 + targetTokens % 2) && now >= this->earliestRequest) {
        request.wanted = static_cast<double>(targetTokens - std::min(targetTokens, this->tokens));
    }
    return request;
}

bool TeamTokens::isDue(SteadyTime now)
{
    this->updateDemand(now);
    this->isWakeRequested = false;
    const TokenRequest request = this->planRequest(now);
    return request.wanted > 0 || request.returned > 0;
}

std::optional<TeamTokens::TokenRequest> TeamTokens::startRequest(SteadyTime now)
{
    const TokenRequest request = this->planRequest(now);
    if (request.returned == 0 && request.wanted == 0) {
        return std::nullopt;
    }
    this->tokens -= static_cast<std::size_t>(request.returned);
    this->isRequestOpen = true;
    return request;
}

void TeamTokens::applyLoan(const hyssophall::fleet::v1::TokenLoan &loan, SteadyTime requestedAt, SteadyTime now)
{
    if (!loan.owned()) {
        this->recordFailure(now);
        return;
    }
    this->isRequestOpen = false;
    const std::size_t lent = tokenCount(loan.lent());
    if (lent > 0) {
        this->tokens = (now > this->borrowedAt + this->options.lifetime ? 0 : this->tokens) + lent;
        this->borrowedAt = requestedAt;
        this->grantTokens();
    }
    const std::chrono::milliseconds wait(loan.wait_milliseconds());
    this->lastDecision = RateDecision{RateDecision::Kind::RateLimited, wait};
    this->lastReplyTime = now;
    this->earliestRequest = now;
    if (wait.count() > 0) {
        this->earliestRequest += std::clamp(wait, this->options.minimumRetryDelay, this->options.maximumRetryDelay);
    }
}

void TeamTokens::recordFailure(SteadyTime now)
{
    this->isRequestOpen = false;
    this->lastDecision = RateDecision{RateDecision::Kind::Unavailable, std::chrono::milliseconds(0)};
    this->lastReplyTime = now;
    this->failureTime = now;
    this->earliestRequest = now + this->options.failureRetryDelay;
}

std::optional<SteadyTime> TeamTokens::lastFailure() const
{
    return this->failureTime;
}

RateDecision TeamTokens::refusal(const TokenWaiter &waiter, SteadyTime now) const
{
    // A reply from before the wait says nothing about the bucket during it, and an old reply nothing about the bucket at the end of the wait.
    const bool isReplyValid = this->lastReplyTime >= waiter.waitStart && now - this->lastReplyTime <= this->options.replyLifetime;
    return isReplyValid ? this->lastDecision : RateDecision{};
}

bool TeamTokens::hasWaiters() const
{
    return !this->waiters.empty();
}

SteadyTime TeamTokens::nextRequestTime() const
{
    return this->earliestRequest;
}

bool TeamTokens::isIdle(SteadyTime now) const
{
    return this->tokens == 0 && this->waiters.empty() && !this->isRequestOpen && now >= this->lastUse + 2 * this->options.idleTime;
}

} // namespace Hyssophall
