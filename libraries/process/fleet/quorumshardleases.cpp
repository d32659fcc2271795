#include "process/fleet/quorumshardleases.h"

#include "version/committee.h"

#include <xxhash.h>

#include <utility>

namespace Hyssophall {

namespace {

std::string leaseName(std::uint32_t shard)
{
    return "shard:" + std::to_string(shard);
}

} // namespace

std::uint32_t shardOf(std::string_view name)
{
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0) % shardCount);
}

QuorumShardLeases::QuorumShardLeases(
    FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, const MemberView &members, std::chrono::milliseconds duration)
    : context(context)
    , members(members)
    , agent(LeaseAgent::create(std::move(context), std::move(voter), duration))
{
}

std::optional<std::uint64_t> QuorumShardLeases::heldEpoch(std::uint32_t shard) const
{
    return this->agent->heldEpoch(leaseName(shard));
}

std::string QuorumShardLeases::candidateOf(std::uint32_t shard) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return shard < shardCount ? this->candidates[shard] : std::string();
}

void QuorumShardLeases::updateCandidates()
{
    std::vector<std::string> live = this->members.liveMembers();
    std::lock_guard<std::mutex> lock(this->mutex);
    if (live == this->candidatesFrom) {
        return;
    }
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        this->candidates[shard] = rendezvousWinner(leaseName(shard), live);
    }
    this->candidatesFrom = std::move(live);
}

void QuorumShardLeases::step()
{
    this->updateCandidates();
    std::vector<std::string> wanted;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (std::uint32_t shard = 0; shard < shardCount && !this->released; ++shard) {
            if (this->candidates[shard] == this->context.self) {
                wanted.push_back(leaseName(shard));
            }
        }
    }
    this->agent->step(wanted);
}

void QuorumShardLeases::releaseAll()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->released = true;
    }
    this->step();
}

} // namespace Hyssophall
