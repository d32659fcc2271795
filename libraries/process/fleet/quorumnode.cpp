#include "process/fleet/quorumnode.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds leaseInterval{20};
constexpr std::chrono::milliseconds claimInterval{100};
constexpr std::chrono::milliseconds ownerInterval{100};

LeaseVoter::Options voterOptions(const QuorumNode::Options &options)
{
    LeaseVoter::Options voter;
    voter.longestLease = std::max(options.shardLease, options.servingLease);
    return voter;
}

std::shared_ptr<ClaimGroups> createGroups()
{
    return std::make_shared<ClaimGroups>();
}

} // namespace

QuorumNode::QuorumNode(FleetContext context, const Options &options, const MemberView &members, TeamLimitSource teamLimits)
    : context(std::move(context))
    , voter(std::make_shared<LocalLeaseVoter>(this->context, voterOptions(options)))
    , shards(this->context, this->voter, members, options.shardLease)
    , serving(this->context, this->voter, options.servingLease)
    , claimMember(ClaimMember::create(this->context, options.claimStore, createGroups()))
    , claims(this->context, options.claims, createGroups(), this->claimMember, options.claimWait)
    , owner(options.owner, std::move(teamLimits), [this](std::uint32_t shard) { return this->shards.heldEpoch(shard); })
    , limiter(BorrowingRateLimiter::create(
          this->context,
          options.limits,
          [this](std::uint32_t shard) { return this->shards.candidateOf(shard); },
          [this](const FleetMessages::BorrowTokensRequest &request) { return this->lendTokens(request); }))
{
}

QuorumNode::~QuorumNode()
{
    this->stop();
}

FleetMessages::BorrowTokensReply QuorumNode::lendTokens(const FleetMessages::BorrowTokensRequest &request)
{
    std::lock_guard<std::mutex> lock(this->ownerMutex);
    // The time is read before the lease is checked, so that nothing is lent that accrued after the lease.
    const SteadyTime now = this->context.clock();
    return this->owner.borrow(request, now);
}

void QuorumNode::setHandlers(FleetHandlers &handlers)
{
    handlers.grantLeases = [this](const FleetMessages::GrantLeasesRequest &request) { return this->voter->grant(request); };
    handlers.claim = [this](const FleetMessages::ClaimRequest &request) { return this->claimMember->claim(request); };
    handlers.finishClaim = [this](const FleetMessages::FinishClaimRequest &request) { return this->claimMember->finishClaim(request); };
    handlers.recoverClaims = [this](const FleetMessages::RecoverClaimsRequest &request) { return this->claimMember->recoverClaims(request); };
    handlers.borrowTokens = [this](const FleetMessages::BorrowTokensRequest &request) { return this->lendTokens(request); };
}

void QuorumNode::start()
{
    this->threads.emplace_back([this] { this->runEvery(leaseInterval, [this] { this->stepShardLeases(); }); });
    this->threads.emplace_back([this] { this->runEvery(leaseInterval, [this] { this->stepServingLease(); }); });
    this->threads.emplace_back([this] { this->runEvery(claimInterval, [this] { this->stepClaims(); }); });
    this->threads.emplace_back([this] { this->runEvery(ownerInterval, [this] { this->stepOwner(); }); });
    this->threads.emplace_back([this] { this->runLimits(); });
}

void QuorumNode::runEvery(std::chrono::milliseconds interval, const std::function<void()> &duty)
{
    while (!this->isStopping()) {
        duty();
        std::unique_lock<std::mutex> lock(this->mutex);
        this->changed.wait_for(lock, interval, [this] { return this->stopping; });
    }
}

void QuorumNode::runLimits()
{
    while (!this->isStopping()) {
        this->limiter->waitUntil(this->limiter->step());
    }
}

bool QuorumNode::isStopping()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->stopping;
}

void QuorumNode::stop()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopping) {
            return;
        }
        this->stopping = true;
    }
    this->changed.notify_all();
    this->limiter->wake();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    this->limiter->returnAllTokens();
    this->shards.releaseAll();
    this->serving.release();
}

void QuorumNode::stepShardLeases()
{
    this->shards.step();
}

void QuorumNode::stepServingLease()
{
    this->serving.step();
}

void QuorumNode::stepClaims()
{
    this->claimMember->step();
    this->claims.step();
}

void QuorumNode::stepOwner()
{
    std::lock_guard<std::mutex> lock(this->ownerMutex);
    this->owner.updateShards(this->context.clock());
}

SteadyTime QuorumNode::stepLimits()
{
    return this->limiter->step();
}

ShardLeases &QuorumNode::shardLeases()
{
    return this->shards;
}

ServingLease &QuorumNode::servingLease()
{
    return this->serving;
}

ClaimCoordinator &QuorumNode::claimCoordinator()
{
    return this->claims;
}

BorrowingRateLimiter &QuorumNode::rateLimiter()
{
    return *this->limiter;
}

std::size_t QuorumNode::recoveringClaimGroups() const
{
    return this->claimMember->recoveringGroups();
}

} // namespace Hyssophall
