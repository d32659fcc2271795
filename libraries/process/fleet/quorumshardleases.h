#pragma once

#include "process/fleet/leaseagent.h"
#include "process/fleet/memberview.h"
#include "process/fleet/shardleases.h"

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Hyssophall {

/// Shard leases by grant of the shards' committees. The name of a shard's lease is "shard:<number>".
class QuorumShardLeases : public ShardLeases
{
public:
    /// @p members must outlive the object.
    QuorumShardLeases(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, const MemberView &members, std::chrono::milliseconds duration);

    std::optional<std::uint64_t> heldEpoch(std::uint32_t shard) const override;
    std::string candidateOf(std::uint32_t shard) const override;

    /// Sends what is due; run by one thread.
    void step();

    /// Gives all leases back and asks for none any more.
    void releaseAll();

private:
    void updateCandidates();

    FleetContext context;
    const MemberView &members;
    std::shared_ptr<LeaseAgent> agent;
    mutable std::mutex mutex;
    std::vector<std::string> candidatesFrom;
    SteadyTime candidatesChecked;
    std::array<std::string, shardCount> candidates;
    bool released = false;
};

} // namespace Hyssophall
