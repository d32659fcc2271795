#include "process/limits/borrowingratelimiter.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hyssophall {

namespace {

/// Between visits of all teams, which top up tokens ahead of callers and return idle ones.
constexpr std::chrono::milliseconds scanInterval{50};
constexpr std::chrono::milliseconds silenceInterval{50};

} // namespace

std::size_t BorrowingRateLimiter::NameHash::operator()(std::string_view name) const
{
    return XXH64(name.data(), name.size(), 0);
}

std::shared_ptr<BorrowingRateLimiter> BorrowingRateLimiter::create(FleetContext context, Options options, OwnerSource owners, LocalOwner localOwner)
{
    return std::shared_ptr<BorrowingRateLimiter>(new BorrowingRateLimiter(std::move(context), options, std::move(owners), std::move(localOwner)));
}

BorrowingRateLimiter::BorrowingRateLimiter(FleetContext context, Options options, OwnerSource owners, LocalOwner localOwner)
    : context(std::move(context))
    , options(options)
    , owners(std::move(owners))
    , localOwner(std::move(localOwner))
{
}

BorrowingRateLimiter::Stripe &BorrowingRateLimiter::stripeOf(std::string_view team)
{
    // Other bits than those that the table of the stripe uses.
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

bool BorrowingRateLimiter::begin(const std::string &team, TokenWaiter &waiter)
{
    Stripe &stripe = this->stripeOf(team);
    bool needsBorrower = false;
    bool taken = false;
    {
        std::lock_guard<std::mutex> lock(stripe.mutex);
        const SteadyTime now = this->context.clock();
        TeamTokens &tokens = this->tokensOf(stripe, team, now);
        taken = tokens.tryTake(now);
        if (!taken) {
            tokens.enqueue(waiter, now);
        }
        needsBorrower = tokens.shouldWake();
    }
    if (needsBorrower) {
        this->wakeFor({team});
    }
    return taken;
}

RateDecision BorrowingRateLimiter::end(const std::string &team, TokenWaiter &waiter)
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
    if (this->begin(team, waiter)) {
        return RateDecision{RateDecision::Kind::Granted, std::chrono::milliseconds(0)};
    }
    {
        Stripe &stripe = this->stripeOf(team);
        std::unique_lock<std::mutex> lock(stripe.mutex);
        SteadyTime limit = waiter.since + this->options.longestWait;
        waiter.changed.wait_until(lock, std::min(deadline, limit), [&waiter] { return waiter.granted; });
        // A verdict that the team is over its rate doesn't notify the waiter, so it is looked for from time to time.
        const SteadyTime end = std::min(deadline, waiter.since + this->options.longestSilence);
        while (!waiter.granted && limit < end && this->isUnanswered(stripe, team, waiter)) {
            limit += silenceInterval;
            waiter.changed.wait_until(lock, std::min(end, limit), [&waiter] { return waiter.granted; });
        }
    }
    return this->end(team, waiter);
}

bool BorrowingRateLimiter::isUnanswered(Stripe &stripe, const std::string &team, const TokenWaiter &waiter)
{
    const SteadyTime now = this->context.clock();
    const TeamTokens &tokens = this->tokensOf(stripe, team, now);
    if (tokens.refusal(waiter, now).kind == RateDecision::Kind::Unavailable) {
        return true;
    }
    // A new owner's bucket starts empty. The time that the caller waited without any owner doesn't count as waiting for the rate.
    const std::optional<SteadyTime> failure = tokens.lastFailure();
    return failure && *failure >= waiter.since && now < *failure + this->options.longestWait;
}

void BorrowingRateLimiter::giveBack(const std::string &team)
{
    Stripe &stripe = this->stripeOf(team);
    std::lock_guard<std::mutex> lock(stripe.mutex);
    const SteadyTime now = this->context.clock();
    this->tokensOf(stripe, team, now).giveBack(now);
}

SteadyTime BorrowingRateLimiter::step()
{
    const SteadyTime now = this->context.clock();
    {
        std::lock_guard<std::mutex> lock(this->wakeMutex);
        for (const std::string &team : this->dueTeams) {
            this->pending[team] = now;
        }
        this->dueTeams.clear();
    }
    Batches batches;
    // Only teams that need tokens are visited at once; visiting all of them each time would hold up their callers.
    if (now >= this->nextScan) {
        this->nextScan = now + scanInterval;
        this->scan(now, batches);
    } else {
        this->visitPending(now, batches);
    }
    this->sendAll(batches, now);
    SteadyTime next = this->nextScan;
    for (const std::pair<const std::string, SteadyTime> &team : this->pending) {
        next = std::min(next, team.second);
    }
    return std::max(next, now + std::chrono::milliseconds(1));
}

void BorrowingRateLimiter::scan(SteadyTime now, Batches &batches)
{
    this->pending.clear();
    for (Stripe &stripe : this->stripes) {
        std::lock_guard<std::mutex> lock(stripe.mutex);
        for (auto current = stripe.teams.begin(); current != stripe.teams.end();) {
            const std::optional<SteadyTime> again = this->visit(current->first, *current->second, now, batches);
            if (again) {
                this->pending[current->first] = *again;
            }
            current = current->second->isIdle(now) ? stripe.teams.erase(current) : std::next(current);
        }
    }
}

void BorrowingRateLimiter::visitPending(SteadyTime now, Batches &batches)
{
    for (auto current = this->pending.begin(); current != this->pending.end();) {
        Stripe &stripe = this->stripeOf(current->first);
        std::lock_guard<std::mutex> lock(stripe.mutex);
        const auto found = stripe.teams.find(current->first);
        const std::optional<SteadyTime> again = found == stripe.teams.end() ? std::nullopt : this->visit(found->first, *found->second, now, batches);
        if (again) {
            current->second = *again;
        }
        current = again ? std::next(current) : this->pending.erase(current);
    }
}

std::optional<SteadyTime> BorrowingRateLimiter::visit(const std::string &team, TeamTokens &tokens, SteadyTime now, Batches &batches)
{
    if (!tokens.isDue(now)) {
        return tokens.hasWaiters() ? std::optional<SteadyTime>(tokens.nextAsk()) : std::nullopt;
    }
    const std::string owner = this->owners(shardOf("team:" + team));
    FleetMessages::BorrowTokensRequest &batch = batches[owner];
    bool busy = static_cast<std::size_t>(batch.demands_size()) >= this->options.maximumDemandsPerCall;
    {
        std::lock_guard<std::mutex> lock(this->ownerMutex);
        busy = busy || this->busyOwners.contains(owner);
    }
    if (busy) {
        // The answer of the owner wakes the borrower.
        return now + scanInterval;
    }
    const std::optional<TeamTokens::Ask> ask = tokens.ask(now);
    if (ask) {
        FleetMessages::TokenDemand &demand = *batch.add_demands();
        demand.set_team(team);
        demand.set_wanted(ask->wanted);
        demand.set_returned(ask->returned);
    }
    return std::nullopt;
}

void BorrowingRateLimiter::sendAll(const Batches &batches, SteadyTime asked)
{
    for (const std::pair<const std::string, FleetMessages::BorrowTokensRequest> &batch : batches) {
        this->send(batch.first, batch.second, asked);
    }
}

void BorrowingRateLimiter::send(const std::string &owner, const FleetMessages::BorrowTokensRequest &batch, SteadyTime asked)
{
    if (batch.demands().empty()) {
        return;
    }
    FleetMessages::BorrowTokensRequest request = batch;
    request.set_member(this->context.self);
    if (owner == this->context.self) {
        const FleetMessages::BorrowTokensReply reply = this->localOwner(request);
        this->takeReply(owner, request, &reply, asked);
        return;
    }
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const CatalogueMessages::Member *member = roster->find(owner);
    if (member == nullptr) {
        this->takeReply(owner, request, nullptr, asked);
        return;
    }
    {
        std::lock_guard<std::mutex> lock(this->ownerMutex);
        this->busyOwners.insert(owner);
    }
    this->calls.fetch_add(1);
    const std::weak_ptr<BorrowingRateLimiter> weak = this->weak_from_this();
    this->context.transport->borrowTokens(member->fleet_address(),
        request,
        std::max(this->options.callTimeout, this->options.longestWait),
        [weak, owner, request, asked](const boost::leaf::result<FleetMessages::BorrowTokensReply> &reply) {
            const std::shared_ptr<BorrowingRateLimiter> limiter = weak.lock();
            if (limiter != nullptr) {
                limiter->takeReply(owner, request, reply ? &*reply : nullptr, asked);
            }
        });
}

void BorrowingRateLimiter::takeReply(
    const std::string &owner, const FleetMessages::BorrowTokensRequest &request, const FleetMessages::BorrowTokensReply *reply, SteadyTime asked)
{
    std::vector<std::string> waiting;
    const bool usable = reply != nullptr && reply->loans_size() == request.demands_size();
    for (int index = 0; index < request.demands_size(); ++index) {
        const std::string &team = request.demands(index).team();
        Stripe &stripe = this->stripeOf(team);
        std::lock_guard<std::mutex> lock(stripe.mutex);
        const SteadyTime now = this->context.clock();
        TeamTokens &tokens = this->tokensOf(stripe, team, now);
        if (usable && reply->loans(index).team() == team) {
            tokens.takeLoan(reply->loans(index), asked, now);
        } else {
            tokens.takeFailure(now);
        }
        if (tokens.hasWaiters()) {
            waiting.push_back(team);
        }
    }
    {
        std::lock_guard<std::mutex> lock(this->ownerMutex);
        this->busyOwners.erase(owner);
    }
    this->wakeFor(waiting);
}

void BorrowingRateLimiter::returnAll()
{
    Batches batches;
    this->scan(this->context.clock() + this->options.tokens.idleTime, batches);
    this->sendAll(batches, this->context.clock());
}

void BorrowingRateLimiter::waitUntil(SteadyTime time)
{
    std::unique_lock<std::mutex> lock(this->wakeMutex);
    this->wakeUp.wait_until(lock, time, [this] { return this->wanted; });
    this->wanted = false;
}

void BorrowingRateLimiter::wakeFor(const std::vector<std::string> &teams)
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
        this->wanted = true;
    }
    this->wakeUp.notify_one();
}

std::uint64_t BorrowingRateLimiter::sentCalls() const
{
    return this->calls.load();
}

} // namespace Hyssophall
