#pragma once

#include "fleet.pb.h"
#include "process/hooks.h"
#include "process/limits/teamlimit.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Hyssophall {

namespace FleetMessages = hyssophall::fleet::v1;

/**
 * The token buckets of the teams whose shards this VM owns. Pure and not thread-safe.
 *
 * Tokens are deducted when they are lent and are whole, so that no fraction is stranded at a VM. A bucket starts empty at the epoch of its shard,
 * because the owner before may have lent all that it had.
 */
class TokenBucketOwner
{
public:
    struct Options {
        /// How long a member's unmet demand counts for the shares of others.
        std::chrono::milliseconds demandMemory{300};
        /// Full buckets that nobody asked for in this time are forgotten.
        std::chrono::seconds idleTime{60};
    };
    /// The epoch of this VM's lease on a shard, or nothing.
    using EpochSource = std::function<std::optional<std::uint64_t>(std::uint32_t shard)>;

    TokenBucketOwner(Options options, TeamLimitSource limits, EpochSource epochs);

    /// Takes note of the shards held, from which on their buckets fill, and forgets idle buckets. Called about every 100 ms.
    void observe(SteadyTime now);

    /// Lends what a member asks for and takes back what it returns. @p now must be read before the call.
    FleetMessages::BorrowTokensReply borrow(const FleetMessages::BorrowTokensRequest &request, SteadyTime now);

    /// Number of buckets in memory.
    std::size_t size() const;

private:
    struct Demand {
        double unmet = 0;
        SteadyTime time;
    };
    struct Bucket {
        TeamLimit limit;
        double tokens = 0;
        SteadyTime updated;
        SteadyTime lastUse;
        std::map<std::string, Demand> demands;
    };
    struct Shard {
        std::uint64_t epoch = 0;
        SteadyTime start;
        std::unordered_map<std::string, Bucket> buckets;
    };

    Shard *heldShard(std::uint32_t number, SteadyTime now);
    Bucket &bucketOf(Shard &shard, const std::string &team, const TeamLimit &limit, SteadyTime now);
    FleetMessages::TokenLoan lend(Bucket &bucket, const std::string &member, const FleetMessages::TokenDemand &demand, SteadyTime now);
    static void fill(Bucket &bucket, const TeamLimit &limit, SteadyTime now);
    static double ceilingOf(const TeamLimit &limit);
    double totalDemand(Bucket &bucket, const std::string &member, double wanted, SteadyTime now) const;

    Options options;
    TeamLimitSource limits;
    EpochSource epochs;
    std::unordered_map<std::uint32_t, Shard> shards;
};

} // namespace Hyssophall
