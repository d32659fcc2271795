#include "process/limits/tokenbucketowner.h"

#include "process/fleet/shardleases.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace Hyssophall {

namespace {

constexpr double longestWaitSeconds = 60;

/// Sums of many small amounts may end this far below a whole token. What is lent too early is missing from the bucket, so errors don't add up.
constexpr double roundingError = 1e-9;

/// A wait in whole milliseconds, rounded up: asking earlier would find nothing.
std::uint32_t waitFor(double tokens, double rate)
{
    const double seconds = rate > 0 ? std::clamp(tokens / rate, 0.0, longestWaitSeconds) : longestWaitSeconds;
    return static_cast<std::uint32_t>(std::ceil(seconds * 1000));
}

/// Values from other VMs that are no amounts count as zero.
double amount(double value)
{
    return std::isfinite(value) && value > 0 ? std::floor(value) : 0;
}

} // namespace

TokenBucketOwner::TokenBucketOwner(Options options, TeamLimitSource limits, EpochSource epochs)
    : options(options)
    , limits(std::move(limits))
    , epochs(std::move(epochs))
{
}

double TokenBucketOwner::ceilingOf(const TeamLimit &limit)
{
    // Without room for one whole token, a team with a rate could never send.
    return limit.rate > 0 ? std::max(1.0, limit.burst) : 0;
}

void TokenBucketOwner::fill(Bucket &bucket, const TeamLimit &limit, SteadyTime now)
{
    if (now > bucket.updated) {
        // When the limit changed isn't known here; the lower rate holds since the last use.
        const double rate = std::min(bucket.limit.rate, limit.rate);
        bucket.tokens += rate * std::chrono::duration<double>(now - bucket.updated).count();
        bucket.updated = now;
    }
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, ceilingOf(limit));
}

TokenBucketOwner::Shard *TokenBucketOwner::heldShard(std::uint32_t number, SteadyTime now)
{
    const std::optional<std::uint64_t> epoch = this->epochs(number);
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

void TokenBucketOwner::observe(SteadyTime now)
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
                fill(bucket, this->limits(current->first).value_or(TeamLimit{}), now);
            }
            // A full bucket comes back with at most the same, because a bucket fills from the start of the epoch.
            current = idle && bucket.tokens >= ceilingOf(bucket.limit) ? shard->buckets.erase(current) : std::next(current);
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
    fill(bucket, limit, now);
    bucket.lastUse = now;
    return bucket;
}

double TokenBucketOwner::totalDemand(Bucket &bucket, const std::string &member, double wanted, SteadyTime now) const
{
    std::erase_if(
        bucket.demands, [this, now](const std::pair<const std::string, Demand> &demand) { return now > demand.second.time + this->options.demandMemory; });
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
    bucket.tokens = std::min(bucket.tokens + amount(demand.returned()), ceilingOf(bucket.limit));
    const double wanted = amount(demand.wanted());
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
        // The next token of this member's share, or the next token at all when the bucket is that empty.
        loan.set_wait_milliseconds(waitFor(std::max(1.0, (total - lent) / unmet) - bucket.tokens, bucket.limit.rate));
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
        const std::optional<TeamLimit> limit = this->limits(demand.team());
        if (!limit && !shard->buckets.contains(demand.team())) {
            // A name that isn't in the catalogue costs no memory.
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_owned(true);
            loan.set_wait_milliseconds(waitFor(1, 0));
            continue;
        }
        // The bucket of a removed team stays, empty, so that a team that comes back under its name doesn't start anew.
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
