#include "process/limits/tokenbucketowner.h"

#include "process/fleet/shardleases.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace Hyssophall {

namespace {

/// Longest wait that a reply asks for.
constexpr double maximumWaitSeconds = 60;

/// Sums of many small amounts may be this much below a whole token. A token that is lent too early is deducted in full, so errors don't accumulate.
constexpr double roundingError = 1e-9;

/// Time in which @p tokens accrue, in milliseconds. Rounded up, because the tokens are not complete any earlier.
std::uint32_t millisecondsUntil(double tokens, double rate)
{
    const double seconds = rate > 0 ? std::clamp(tokens / rate, 0.0, maximumWaitSeconds) : maximumWaitSeconds;
    return static_cast<std::uint32_t>(std::ceil(seconds * 1000));
}

/// Number of whole tokens in a value from another VM. Negative, infinite and NaN values count as zero.
double wholeTokens(double value)
{
    return std::isfinite(value) && value > 0 ? std::floor(value) : 0;
}

} // namespace

TokenBucketOwner::TokenBucketOwner(Options options, TeamLimitSource limitOf, EpochSource epochOf)
    : options(options)
    , limitOf(std::move(limitOf))
    , epochOf(std::move(epochOf))
{
}

double TokenBucketOwner::capacityOf(const TeamLimit &limit)
{
    // A bucket that can't hold one whole token would never admit a request.
    return limit.rate > 0 ? std::max(1.0, limit.burst) : 0;
}

void TokenBucketOwner::refill(Bucket &bucket, const TeamLimit &limit, SteadyTime now)
{
    if (now > bucket.updated) {
        // The time at which the limit changed isn't known here, so the lower of the two rates applies since the last update.
        const double rate = std::min(bucket.limit.rate, limit.rate);
        bucket.tokens += rate * std::chrono::duration<double>(now - bucket.updated).count();
        bucket.updated = now;
    }
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, capacityOf(limit));
}

TokenBucketOwner::Shard *TokenBucketOwner::heldShard(std::uint32_t number, SteadyTime now)
{
    const std::optional<std::uint64_t> epoch = this->epochOf(number);
    if (!epoch) {
        this->shards.erase(number);
        return nullptr;
    }
    Shard &shard = this->shards[number];
    if (shard.epoch != *epoch) {
        shard.epoch = *epoch;
        shard.start = now;
        shard.buckets.clear();
    }
    return &shard;
}

void TokenBucketOwner::updateShards(SteadyTime now)
{
    for (std::uint32_t number = 0; number < shardCount; ++number) {
        Shard *shard = this->heldShard(number, now);
        if (shard == nullptr) {
            continue;
        }
        for (auto current = shard->buckets.begin(); current != shard->buckets.end();) {
            Bucket &bucket = current->second;
            const bool idle = now >= bucket.lastUse + this->options.idleTime;
            if (idle) {
                refill(bucket, this->limitOf(current->first).value_or(TeamLimit{}), now);
            }
            // Removing a full bucket grants no extra tokens: when it is created again, it fills from the start of the epoch up to its capacity at most.
            current = idle && bucket.tokens >= capacityOf(bucket.limit) ? shard->buckets.erase(current) : std::next(current);
        }
    }
}

TokenBucketOwner::Bucket &TokenBucketOwner::bucketOf(Shard &shard, const std::string &team, const TeamLimit &limit, SteadyTime now)
{
    const auto inserted = shard.buckets.try_emplace(team);
    Bucket &bucket = inserted.first->second;
    if (inserted.second) {
        bucket.limit = limit;
        bucket.updated = shard.start;
    }
    refill(bucket, limit, now);
    bucket.lastUse = now;
    return bucket;
}

double TokenBucketOwner::totalDemand(Bucket &bucket, const std::string &member, double wanted, SteadyTime now) const
{
    std::erase_if(
        bucket.demands, [this, now](const std::pair<const std::string, Demand> &demand) { return now > demand.second.time + this->options.demandLifetime; });
    double total = wanted;
    for (const std::pair<const std::string, Demand> &demand : bucket.demands) {
        total += demand.first == member ? 0 : demand.second.unmet;
    }
    return total;
}

FleetMessages::TokenLoan TokenBucketOwner::lend(Bucket &bucket, const std::string &member, const FleetMessages::TokenDemand &demand, SteadyTime now)
{
    FleetMessages::TokenLoan loan;
    loan.set_team(demand.team());
    loan.set_owned(true);
    bucket.tokens = std::min(bucket.tokens + wholeTokens(demand.returned()), capacityOf(bucket.limit));
    const double wanted = wholeTokens(demand.wanted());
    const double total = this->totalDemand(bucket, member, wanted, now);
    double lent = 0;
    if (wanted > 0 && bucket.tokens + roundingError >= 1) {
        const double share = total > bucket.tokens ? std::floor(bucket.tokens * wanted / total + roundingError) : wanted;
        lent = std::min({wanted, std::max(1.0, share), std::floor(bucket.tokens + roundingError)});
    }
    bucket.tokens -= lent;
    loan.set_lent(lent);
    if (lent < wanted) {
        const double unmet = wanted - lent;
        bucket.demands[member] = Demand{unmet, now};
        // Wait until this member's share of the bucket is one whole token. The bucket needs (total - lent) / unmet tokens for that, and at least one.
        loan.set_wait_milliseconds(millisecondsUntil(std::max(1.0, (total - lent) / unmet) - bucket.tokens, bucket.limit.rate));
    } else {
        bucket.demands.erase(member);
    }
    return loan;
}

FleetMessages::BorrowTokensReply TokenBucketOwner::borrow(const FleetMessages::BorrowTokensRequest &request, SteadyTime now)
{
    FleetMessages::BorrowTokensReply reply;
    for (const FleetMessages::TokenDemand &demand : request.demands()) {
        Shard *shard = this->heldShard(shardOf("team:" + demand.team()), now);
        if (shard == nullptr) {
            reply.add_loans()->set_team(demand.team());
            continue;
        }
        const std::optional<TeamLimit> limit = this->limitOf(demand.team());
        if (!limit && !shard->buckets.contains(demand.team())) {
            // No bucket is created for a name that isn't in the catalogue, so that unknown names use no memory.
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(true);
            loan.set_wait_milliseconds(millisecondsUntil(1, 0));
            continue;
        }
        // The bucket of a removed team stays, empty, so that a team that is added again under its name doesn't get a new allowance.
        Bucket &bucket = this->bucketOf(*shard, demand.team(), limit.value_or(TeamLimit{}), now);
        *reply.add_loans() = this->lend(bucket, request.member(), demand, now);
        reply.set_epoch(std::max(reply.epoch(), shard->epoch));
    }
    return reply;
}

std::size_t TokenBucketOwner::size() const
{
    std::size_t count = 0;
    for (const std::pair<const std::uint32_t, Shard> &shard : this->shards) {
        count += shard.second.buckets.size();
    }
    return count;
}

} // namespace Hyssophall
