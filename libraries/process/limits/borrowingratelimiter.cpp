#include "process/limits/borrowingratelimiter.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hyssophall {

namespace {

/// Interval between visits of all teams, which borrow tokens ahead of demand and return unused ones.
constexpr std::chrono::milliseconds scanInterval{50};
/// Interval at which a waiting caller checks whether the owner has replied.
constexpr std::chrono::milliseconds replyCheckInterval{50};

} // namespace

std::size_t BorrowingRateLimiter::NameHash::operator()(std::string_view name) const
{
    return XXH64(name.data(), name.size(), 0);
}

std::shared_ptr<BorrowingRateLimiter> BorrowingRateLimiter::create(FleetContext context, Options options, OwnerSource findOwner, LocalOwner borrowLocally)
{
    return std::shared_ptr<BorrowingRateLimiter>(new BorrowingRateLimiter(std::move(context), options, std::move(findOwner), std::move(borrowLocally)));
}

BorrowingRateLimiter::BorrowingRateLimiter(FleetContext context, Options options, OwnerSource findOwner, LocalOwner borrowLocally)
    : context(std::move(context))
    , options(options)
    , findOwner(std::move(findOwner))
    , borrowLocally(std::move(borrowLocally))
{
}

BorrowingRateLimiter::Stripe &BorrowingRateLimiter::stripeOf(std::string_view team)
{
    // The hash table of the stripe uses the lower bits of the same hash.
    return this->stripes[(NameHash()(team) >> 32U) % this->stripes.size()];
}

TeamTokens &BorrowingRateLimiter::tokensOf(Stripe &stripe, const std::string &team, SteadyTime now)
{
    const auto found = stripe.teams.find(team);
    if (found != stripe.teams.end()) {
        return *found->second;
    }
    return *stripe.teams.emplace(team, std::make_unique<TeamTokens>(this->options.tokens, now)).first->second;
}

bool BorrowingRateLimiter::beginAcquire(const std::string &team, TokenWaiter &waiter)
{
    Stripe &stripe = this->stripeOf(team);
    bool needsBorrower = false;
    bool taken = false;
    {
        std::lock_guard<std::mutex> lock(stripe.mutex);
        const SteadyTime now = this->context.clock();
        TeamTokens &tokens = this->tokensOf(stripe, team, now);
        taken = tokens.tryAcquire(now);
        if (!taken) {
            tokens.enqueue(waiter, now);
        }
        needsBorrower = tokens.shouldWakeBorrower();
    }
    if (needsBorrower) {
        this->wakeForTeams({team});
    }
    return taken;
}

RateDecision BorrowingRateLimiter::endAcquire(const std::string &team, TokenWaiter &waiter)
{
    Stripe &stripe = this->stripeOf(team);
    std::lock_guard<std::mutex> lock(stripe.mutex);
    if (waiter.granted) {
        return RateDecision{RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
    }
    const SteadyTime now = this->context.clock();
    TeamTokens &tokens = this->tokensOf(stripe, team, now);
    tokens.remove(waiter);
    return tokens.refusal(waiter, now);
}

RateDecision BorrowingRateLimiter::acquire(const std::string &team, SteadyTime deadline)
{
    TokenWaiter waiter;
    if (this->beginAcquire(team, waiter)) {
        return RateDecision{RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
    }
    {
        Stripe &stripe = this->stripeOf(team);
        std::unique_lock<std::mutex> lock(stripe.mutex);
        SteadyTime nextCheck = waiter.waitStart + this->options.maximumRateWait;
        waiter.condition.wait_until(lock, std::min(deadline, nextCheck), [&waiter] { return waiter.granted; });
        // Only a granted token notifies the waiter. A reply that the team is over its rate doesn't, so check for it at an interval.
        const SteadyTime latestEnd = std::min(deadline, waiter.waitStart + this->options.maximumOwnerWait);
        while (!waiter.granted && nextCheck < latestEnd && this->awaitsOwner(stripe, team, waiter)) {
            nextCheck += replyCheckInterval;
            waiter.condition.wait_until(lock, std::min(latestEnd, nextCheck), [&waiter] { return waiter.granted; });
        }
    }
    return this->endAcquire(team, waiter);
}

bool BorrowingRateLimiter::awaitsOwner(Stripe &stripe, const std::string &team, const TokenWaiter &waiter)
{
    const SteadyTime now = this->context.clock();
    const TeamTokens &tokens = this->tokensOf(stripe, team, now);
    if (tokens.refusal(waiter, now).kind == RateDecision::Kind::Unavailable) {
        return true;
    }
    // A new owner's bucket starts empty, so the time in which the team had no owner doesn't count towards maximumRateWait.
    const std::optional<SteadyTime> lastFailure = tokens.lastFailure();
    return lastFailure && *lastFailure >= waiter.waitStart && now < *lastFailure + this->options.maximumRateWait;
}

void BorrowingRateLimiter::returnToken(const std::string &team)
{
    Stripe &stripe = this->stripeOf(team);
    std::lock_guard<std::mutex> lock(stripe.mutex);
    const SteadyTime now = this->context.clock();
    this->tokensOf(stripe, team, now).returnToken(now);
}

SteadyTime BorrowingRateLimiter::step()
{
    const SteadyTime now = this->context.clock();
    {
        std::lock_guard<std::mutex> lock(this->wakeMutex);
        for (const std::string &team : this->dueTeams) {
            this->pendingTeams[team] = now;
        }
        this->dueTeams.clear();
    }
    Batches batches;
    // Between scans, only teams that need tokens are visited: a scan locks every stripe and would delay callers.
    if (now >= this->nextScan) {
        this->nextScan = now + scanInterval;
        this->scanTeams(now, batches);
    } else {
        this->addPendingDemands(now, batches);
    }
    this->sendBatches(batches, now);
    SteadyTime next = this->nextScan;
    for (const std::pair<const std::string, SteadyTime> &team : this->pendingTeams) {
        next = std::min(next, team.second);
    }
    return std::max(next, now + std::chrono::milliseconds(1));
}

void BorrowingRateLimiter::scanTeams(SteadyTime now, Batches &batches)
{
    this->pendingTeams.clear();
    for (Stripe &stripe : this->stripes) {
        std::lock_guard<std::mutex> lock(stripe.mutex);
        for (auto current = stripe.teams.begin(); current != stripe.teams.end();) {
            const std::optional<SteadyTime> nextVisit = this->addDemand(current->first, *current->second, now, batches);
            if (nextVisit) {
                this->pendingTeams[current->first] = *nextVisit;
            }
            current = current->second->isIdle(now) ? stripe.teams.erase(current) : std::next(current);
        }
    }
}

void BorrowingRateLimiter::addPendingDemands(SteadyTime now, Batches &batches)
{
    for (auto current = this->pendingTeams.begin(); current != this->pendingTeams.end();) {
        Stripe &stripe = this->stripeOf(current->first);
        std::lock_guard<std::mutex> lock(stripe.mutex);
        const auto found = stripe.teams.find(current->first);
        const std::optional<SteadyTime> nextVisit = found == stripe.teams.end() ? std::nullopt : this->addDemand(found->first, *found->second, now, batches);
        if (nextVisit) {
            current->second = *nextVisit;
        }
        current = nextVisit ? std::next(current) : this->pendingTeams.erase(current);
    }
}

std::optional<SteadyTime> BorrowingRateLimiter::addDemand(const std::string &team, TeamTokens &tokens, SteadyTime now, Batches &batches)
{
    if (!tokens.isDue(now)) {
        return tokens.hasWaiters() ? std::optional<SteadyTime>(tokens.nextRequestTime()) : std::nullopt;
    }
    const std::string owner = this->findOwner(shardOf("team:" + team));
    FleetMessages::BorrowTokensRequest &batch = batches[owner];
    bool busy = static_cast<std::size_t>(batch.demands_size()) >= this->options.maximumDemandsPerCall;
    {
        std::lock_guard<std::mutex> lock(this->ownerMutex);
        busy = busy || this->busyOwners.contains(owner);
    }
    if (busy) {
        // The reply of the owner wakes the borrower before that.
        return now + scanInterval;
    }
    const std::optional<TeamTokens::TokenRequest> request = tokens.startRequest(now);
    if (request) {
        FleetMessages::TokenDemand &demand = *batch.add_demands();
        demand.set_team(team);
        demand.set_wanted(request->wanted);
        demand.set_returned(request->returned);
    }
    return std::nullopt;
}

void BorrowingRateLimiter::sendBatches(const Batches &batches, SteadyTime requestedAt)
{
    for (const std::pair<const std::string, FleetMessages::BorrowTokensRequest> &batch : batches) {
        this->send(batch.first, batch.second, requestedAt);
    }
}

void BorrowingRateLimiter::send(const std::string &owner, const FleetMessages::BorrowTokensRequest &batch, SteadyTime requestedAt)
{
    if (batch.demands().empty()) {
        return;
    }
    FleetMessages::BorrowTokensRequest request = batch;
    request.set_member(this->context.self);
    if (owner == this->context.self) {
        const FleetMessages::BorrowTokensReply reply = this->borrowLocally(request);
        this->handleReply(owner, request, &reply, requestedAt);
        return;
    }
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const CatalogueMessages::Member *member = roster->find(owner);
    if (member == nullptr) {
        this->handleReply(owner, request, nullptr, requestedAt);
        return;
    }
    {
        std::lock_guard<std::mutex> lock(this->ownerMutex);
        this->busyOwners.insert(owner);
    }
    this->sentCallCount.fetch_add(1);
    const std::weak_ptr<BorrowingRateLimiter> weak = this->weak_from_this();
    this->context.transport->borrowTokens(member->fleet_address(),
        request,
        std::max(this->options.callTimeout, this->options.maximumRateWait),
        [weak, owner, request, requestedAt](const boost::leaf::result<FleetMessages::BorrowTokensReply> &reply) {
            const std::shared_ptr<BorrowingRateLimiter> limiter = weak.lock();
            if (limiter != nullptr) {
                limiter->handleReply(owner, request, reply ? &*reply : nullptr, requestedAt);
            }
        });
}

void BorrowingRateLimiter::handleReply(
    const std::string &owner, const FleetMessages::BorrowTokensRequest &request, const FleetMessages::BorrowTokensReply *reply, SteadyTime requestedAt)
{
    std::vector<std::string> teamsWithWaiters;
    const bool usable = reply != nullptr && reply->loans_size() == request.demands_size();
    for (int index = 0; index < request.demands_size(); ++index) {
        const std::string &team = request.demands(index).team();
        Stripe &stripe = this->stripeOf(team);
        std::lock_guard<std::mutex> lock(stripe.mutex);
        const SteadyTime now = this->context.clock();
        TeamTokens &tokens = this->tokensOf(stripe, team, now);
        if (usable && reply->loans(index).team() == team) {
            tokens.applyLoan(reply->loans(index), requestedAt, now);
        } else {
            tokens.recordFailure(now);
        }
        if (tokens.hasWaiters()) {
            teamsWithWaiters.push_back(team);
        }
    }
    {
        std::lock_guard<std::mutex> lock(this->ownerMutex);
        this->busyOwners.erase(owner);
    }
    this->wakeForTeams(teamsWithWaiters);
}

void BorrowingRateLimiter::returnAllTokens()
{
    Batches batches;
    this->scanTeams(this->context.clock() + this->options.tokens.idleTime, batches);
    this->sendBatches(batches, this->context.clock());
}

void BorrowingRateLimiter::waitUntil(SteadyTime time)
{
    std::unique_lock<std::mutex> lock(this->wakeMutex);
    this->wakeUp.wait_until(lock, time, [this] { return this->isWakeRequested; });
    this->isWakeRequested = false;
}

void BorrowingRateLimiter::wakeForTeams(const std::vector<std::string> &teams)
{
    {
        std::lock_guard<std::mutex> lock(this->wakeMutex);
        this->dueTeams.insert(this->dueTeams.end(), teams.begin(), teams.end());
    }
    this->wake();
}

void BorrowingRateLimiter::wake()
{
    {
        std::lock_guard<std::mutex> lock(this->wakeMutex);
        this->isWakeRequested = true;
    }
    this->wakeUp.notify_one();
}

std::uint64_t BorrowingRateLimiter::sentCalls() const
{
    return this->sentCallCount.load();
}

} // namespace Hyssophall
