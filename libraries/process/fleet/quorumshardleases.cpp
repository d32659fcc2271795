#include "process/fleet/quorumshardleases.h"

#include "version/committee.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hyssophall {

namespace {

std::string leaseName(std::uint32_t shard)
{
    return "shard:" + std::to_string(shard);
}

/// Minimum time between updates of the candidates. Membership changes take seconds to be detected, and each update copies the list of all members.
constexpr std::chrono::milliseconds candidatesInterval{100};

/// The elements of the sorted @p list that the sorted @p removed lacks.
std::vector<std::string> difference(const std::vector<std::string> &list, const std::vector<std::string> &removed)
{
    std::vector<std::string> result;
    std::set_difference(list.begin(), list.end(), removed.begin(), removed.end(), std::back_inserter(result));
    return result;
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
    const SteadyTime now = this->context.clock();
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->candidatesUpdateTime != SteadyTime() && now - this->candidatesUpdateTime < candidatesInterval) {
            return;
        }
        this->candidatesUpdateTime = now;
    }
    std::vector<std::string> live = this->members.liveMembers();
    std::sort(live.begin(), live.end());
    std::lock_guard<std::mutex> lock(this->mutex);
    if (live == this->candidateMembers) {
        return;
    }
    const std::vector<std::string> lost = difference(this->candidateMembers, live);
    const std::vector<std::string> joined = difference(live, this->candidateMembers);
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        std::string &candidate = this->candidates[shard];
        const std::string name = leaseName(shard);
        if (candidate.empty() || std::binary_search(lost.begin(), lost.end(), candidate)) {
            candidate = rendezvousWinner(name, live);
        } else if (!joined.empty()) {
            // The current candidate has the greatest weight of all members that stayed, so it only competes with the new ones.
            std::vector<std::string> competitors = joined;
            competitors.push_back(candidate);
            candidate = rendezvousWinner(name, competitors);
        }
    }
    this->candidateMembers = std::move(live);
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
