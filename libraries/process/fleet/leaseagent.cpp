#include "process/fleet/leaseagent.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

LocalLeaseVoter::LocalLeaseVoter(FleetContext context, LeaseVoter::Options options)
    : context(std::move(context))
    , voter(options, this->context.self, this->context.incarnation, this->context.clock())
{
}

FleetMessages::GrantLeasesReply LocalLeaseVoter::grant(const FleetMessages::GrantLeasesRequest &request)
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const std::uint64_t version = this->context.catalogueVersion();
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->voter.grant(request, *roster, version, this->context.clock());
}

std::shared_ptr<LeaseAgent> LeaseAgent::create(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration)
{
    return std::shared_ptr<LeaseAgent>(new LeaseAgent(std::move(context), std::move(voter), duration));
}

LeaseAgent::LeaseAgent(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration)
    : context(std::move(context))
    , voter(std::move(voter))
    , callTimeout(duration / 4)
    , holder(LeaseHolder::Options{this->context.self, this->context.incarnation, duration}, this->context.random)
{
}

void LeaseAgent::step(const std::vector<std::string> &wantedNames)
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    std::vector<LeaseHolder::Outgoing> due;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->holder.setWanted(wantedNames);
        due = this->holder.tick(this->context.clock(), *roster);
    }
    for (const LeaseHolder::Outgoing &outgoing : due) {
        this->send(outgoing);
    }
}

void LeaseAgent::send(const LeaseHolder::Outgoing &outgoing)
{
    if (outgoing.voter.id() == this->context.self) {
        this->handleReply(outgoing, this->voter->grant(outgoing.request));
        return;
    }
    const std::weak_ptr<LeaseAgent> weak = this->weak_from_this();
    this->context.transport->grantLeases(outgoing.voter.fleet_address(),
        outgoing.request,
        this->callTimeout,
        [weak, outgoing](const boost::leaf::result<FleetMessages::GrantLeasesReply> &reply) {
            const std::shared_ptr<LeaseAgent> agent = weak.lock();
            if (agent != nullptr && reply) {
                agent->handleReply(outgoing, *reply);
            }
        });
}

void LeaseAgent::handleReply(const LeaseHolder::Outgoing &outgoing, const FleetMessages::GrantLeasesReply &reply)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->greatestVersion = std::max(this->greatestVersion, reply.catalogue_version());
    this->holder.handleReply(outgoing, reply, this->context.clock());
}

std::optional<std::uint64_t> LeaseAgent::heldEpoch(const std::string &name) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->holder.heldEpoch(name, this->context.clock());
}

std::vector<std::string> LeaseAgent::heldNames() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->holder.heldNames(this->context.clock());
}

std::uint64_t LeaseAgent::greatestCatalogueVersion() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->greatestVersion;
}

} // namespace Hyssophall
