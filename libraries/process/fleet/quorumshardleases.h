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

/// Shard leases, each granted by the committee of the name "shard:<number>".
class QuorumShardLeases : public ShardLeases
{
public:
    /// @p members must outlive the object.
    QuorumShardLeases(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, const MemberView &members, std::chrono::milliseconds duration);

    std::optional<std::uint64_t> heldEpoch(std::uint32_t shard) const override;
    std::string candidateOf(std::uint32_t shard) const override;

    /// Sends the requests that are due. Called every 20 ms by one thread of QuorumNode.
    void step();

    /// Releases all leases and requests no new ones.
    void releaseAll();

private:
    void updateCandidates();

    FleetContext context;
    const MemberView &members;
    std::shared_ptr<LeaseAgent> agent;
    mutable std::mutex mutex;
    std::vector<std::string> candidateMembers;
    SteadyTime candidatesUpdateTime;
    std::array<std::string, shardCount> candidates;
    bool released = false;
};

} // namespace Hyssophall
