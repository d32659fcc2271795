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

/// Members that come and go are noticed after seconds; looking more often than this costs a copy of the list of all members each time.
constexpr std::chrono::milliseconds candidatesInterval{100};

/// Of two sorted lists, what the second doesn't have.
std::vector<std::string> without(const std::vector<std::string> &list, const std::vector<std::string> &removed)
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
        if (this->candidatesChecked != SteadyTime() && now - this->candidatesChecked < candidatesInterval) {
            return;
        }
        this->candidatesChecked = now;
    }
    std::vector<std::string> live = this->members.liveMembers();
    std::sort(live.begin(), live.end());
    std::lock_guard<std::mutex> lock(this->mutex);
    if (live == this->candidatesFrom) {
        return;
    }
    const std::vector<std::string> gone = without(this->candidatesFrom, live);
    const std::vector<std::string> arrived = without(live, this->candidatesFrom);
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        std::string &candidate = this->candidates[shard];
        const std::string name = leaseName(shard);
        if (candidate.empty() || std::binary_search(gone.begin(), gone.end(), candidate)) {
            candidate = rendezvousWinner(name, live);
        } else if (!arrived.empty()) {
            // The present candidate won over all members that stayed.
            std::vector<std::string> rivals = arrived;
            rivals.push_back(candidate);
            candidate = rendezvousWinner(name, rivals);
        }
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
