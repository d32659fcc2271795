#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hyssophall {

/// Number of shards that teams' token buckets, services' arbiters and request fingerprints are hashed into.
constexpr std::uint32_t shardCount = 256;

/// The shard of a name such as "team:red", "service:orders" or "fingerprint:77". Equal on all VMs.
std::uint32_t shardOf(std::string_view name);

/// Exclusive leases on shards: at most one VM in the fleet holds each. Thread-safe, non-blocking.
class ShardLeases
{
public:
    virtual ~ShardLeases() = default;

    /// The epoch of this VM's lease on a shard, or nothing while it doesn't hold one. Callers check it before each use and don't cache it.
    virtual std::optional<std::uint64_t> heldEpoch(std::uint32_t shard) const = 0;

    /// Id of the member that should hold the shard: the one with the greatest rendezvous weight among the live members.
    virtual std::string candidateOf(std::uint32_t shard) const = 0;
};

} // namespace Hyssophall
