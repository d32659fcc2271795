#include "process/limits/borrowingratelimiter.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Between rounds in which idle tokens are returned.
constexpr std::chrono::milliseconds idleRound{50};

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
        this->wake();
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
    TeamTokens &tokens = this->tokensOf(stripe, team, this->context.clock());
    tokens.remove(waiter);
    return tokens.refusal(waiter);
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
        waiter.changed.wait_until(lock, std::min(deadline, waiter.since + this->options.longestWait), [&waiter] { return waiter.granted; });
    }
    return this->end(team, waiter);
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
    SteadyTime next = now + std::chrono::seconds(1);
    Batches batches;
    for (Stripe &stripe : this->stripes) {
        this->collect(stripe, now, next, batches);
    }
    for (const std::pair<const std::string, FleetMessages::BorrowTokensRequest> &batch : batches) {
        this->send(batch.first, batch.second, now);
    }
    return next;
}

void BorrowingRateLimiter::collect(Stripe &stripe, SteadyTime now, SteadyTime &next, Batches &batches)
{
    std::lock_guard<std::mutex> lock(stripe.mutex);
    for (auto current = stripe.teams.begin(); current != stripe.teams.end();) {
        TeamTokens &tokens = *current->second;
        if (tokens.isIdle(now)) {
            current = stripe.teams.erase(current);
            continue;
        }
        const std::string owner = this->owners(shardOf("team:" + current->first));
        FleetMessages::BorrowTokensRequest &batch = batches[owner];
        bool free = static_cast<std::size_t>(batch.demands_size()) < this->options.maximumDemandsPerCall;
        {
            std::lock_guard<std::mutex> ownerLock(this->ownerMutex);
            free = free && !this->busyOwners.contains(owner);
        }
        const std::optional<TeamTokens::Ask> ask = free ? tokens.ask(now) : std::nullopt;
        if (ask) {
            FleetMessages::TokenDemand &demand = *batch.add_demands();
            demand.set_team(current->first);
            demand.set_wanted(ask->wanted);
            demand.set_returned(ask->returned);
        }
        // A free owner is asked at the team's time; a busy one wakes the borrower with its answer.
        next = std::min(next, tokens.hasWaiters() && free && !ask ? std::max(tokens.nextAsk(), now + std::chrono::milliseconds(1)) : now + idleRound);
        ++current;
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
        this->options.callTimeout,
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
    }
    {
        std::lock_guard<std::mutex> lock(this->ownerMutex);
        this->busyOwners.erase(owner);
    }
    this->wake();
}

void BorrowingRateLimiter::returnAll()
{
    Batches batches;
    const SteadyTime now = this->context.clock() + this->options.tokens.idleTime;
    SteadyTime next = now;
    for (Stripe &stripe : this->stripes) {
        this->collect(stripe, now, next, batches);
    }
    for (const std::pair<const std::string, FleetMessages::BorrowTokensRequest> &batch : batches) {
        this->send(batch.first, batch.second, now);
    }
}

void BorrowingRateLimiter::waitUntil(SteadyTime time)
{
    std::unique_lock<std::mutex> lock(this->wakeMutex);
    this->wakeUp.wait_until(lock, time, [this] { return this->wanted; });
    this->wanted = false;
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
