#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hyssophall {

/// Shards that team buckets, services' arbiters and request fingerprints are spread over.
constexpr std::uint32_t shardCount = 256;

/// The shard of a name such as "team:red", "service:orders" or "fingerprint:77". Equal on all VMs.
std::uint32_t shardOf(std::string_view name);

/// Interface to the exclusive leases on shards. Thread-safe, non-blocking.
class ShardLeases
{
public:
    virtual ~ShardLeases() = default;

    /// The epoch of this VM's lease on a shard, or nothing while it doesn't hold one. Checked anew before each use.
    virtual std::optional<std::uint64_t> heldEpoch(std::uint32_t shard) const = 0;

    /// Id of the member that should hold the shard: the rendezvous winner among the live members.
    virtual std::string candidateOf(std::uint32_t shard) const = 0;
};

} // namespace Hyssophall
