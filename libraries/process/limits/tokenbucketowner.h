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
 * The token buckets of the teams whose shards this VM owns by lease. Other VMs borrow tokens from them by BorrowTokens calls.
 *
 * Tokens are deducted when they are lent. Only whole tokens are lent, so that no fraction stays unused on a VM. A bucket starts empty when the
 * epoch of its shard's lease starts, because the previous owner may have lent all of its tokens. Does no I/O. Not thread-safe.
 */
class TokenBucketOwner
{
public:
    struct Options {
        /// Time for which a VM's unmet demand reduces the shares of the others.
        std::chrono::milliseconds demandLifetime{300};
        /// Full buckets without a request for this long are removed from memory.
        std::chrono::seconds idleTime{60};
    };
    /// Returns the epoch of this VM's lease on a shard, or nothing while it holds none.
    using EpochSource = std::function<std::optional<std::uint64_t>(std::uint32_t shard)>;

    TokenBucketOwner(Options options, TeamLimitSource limitOf, EpochSource epochOf);

    /// Updates which shards this VM holds, and removes idle buckets. The buckets of a new shard fill from this call on. Called about every 100 ms.
    void updateShards(SteadyTime now);

    /// Lends and takes back tokens as requested. Each loan says how long to wait for the tokens that are missing; owned is false for teams whose
    /// shard this VM doesn't hold. @p now must be read before the call.
    FleetMessages::BorrowTokensReply borrow(const FleetMessages::BorrowTokensRequest &request, SteadyTime now);

    /// Number of buckets in memory.
    std::size_t size() const;

private:
    /// Tokens that a VM requested last and didn't get.
    struct Demand {
        double unmet = 0;
        SteadyTime time;
    };
    struct Bucket {
        TeamLimit limit;
        double tokens = 0;
        SteadyTime updated;
        SteadyTime lastUse;
        /// Unmet demand by id of the VM.
        std::map<std::string, Demand> demands;
    };
    struct Shard {
        std::uint64_t epoch = 0;
        /// When this VM first saw the epoch.
        SteadyTime start;
        std::unordered_map<std::string, Bucket> buckets;
    };

    /// Returns null for a shard that this VM doesn't hold. Discards the buckets of an earlier epoch.
    Shard *heldShard(std::uint32_t number, SteadyTime now);
    Bucket &bucketOf(Shard &shard, const std::string &team, const TeamLimit &limit, SteadyTime now);
    FleetMessages::TokenLoan lend(Bucket &bucket, const std::string &member, const FleetMessages::TokenDemand &demand, SteadyTime now);
    static void refill(Bucket &bucket, const TeamLimit &limit, SteadyTime now);
    /// Most tokens that a bucket with this limit can hold.
    static double capacityOf(const TeamLimit &limit);
    /// Unmet demand of the other members plus what @p member wants.
    double totalDemand(Bucket &bucket, const std::string &member, double wanted, SteadyTime now) const;

    Options options;
    TeamLimitSource limitOf;
    EpochSource epochOf;
    std::unordered_map<std::uint32_t, Shard> shards;
};

} // namespace Hyssophall
