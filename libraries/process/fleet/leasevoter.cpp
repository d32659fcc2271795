#include "process/fleet/leasevoter.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

LeaseVoter::LeaseVoter(Options options, std::string self, std::uint64_t incarnation, SteadyTime start)
    : options(options)
    , self(std::move(self))
    , incarnation(incarnation)
    , start(start)
{
}

FleetMessages::GrantLeasesReply LeaseVoter::grant(
    const FleetMessages::GrantLeasesRequest &request, const Roster &roster, std::uint64_t catalogueVersion, SteadyTime now)
{
    FleetMessages::GrantLeasesReply reply;
    reply.set_catalogue_version(catalogueVersion);
    // The withdrawal of a key doesn't wait for VMs outside the roster, so they must not hold any lease.
    if (this->mustAbstain(roster, now) || !areRostersCompatible(request.roster_version(), roster.version()) || roster.find(request.holder()) == nullptr) {
        return reply;
    }
    reply.set_voting(true);
    for (const FleetMessages::LeaseRequest &lease : request.leases()) {
        *reply.add_grants() = this->decide(request, lease, now);
    }
    return reply;
}

bool LeaseVoter::mustAbstain(const Roster &roster, SteadyTime now) const
{
    return now < this->start + this->options.maximumDuration && !isAdmittedIncarnation(roster, this->self, this->incarnation);
}

bool LeaseVoter::mayGrant(const Entry &entry, bool sameHolder, std::uint64_t epoch, SteadyTime now)
{
    if (!sameHolder && now < entry.expiry) {
        return false;
    }
    // An epoch granted to another holder is never granted again. A delayed renewal of an old epoch is refused.
    return epoch == 0 || epoch > entry.epoch || (epoch == entry.epoch && sameHolder);
}

FleetMessages::LeaseGrant LeaseVoter::decide(const FleetMessages::GrantLeasesRequest &request, const FleetMessages::LeaseRequest &lease, SteadyTime now)
{
    FleetMessages::LeaseGrant grant;
    grant.set_name(lease.name());
    const std::chrono::milliseconds duration(lease.duration_milliseconds());
    const auto found = this->entries.find(lease.name());
    if (duration > this->options.maximumDuration || (found == this->entries.end() && (lease.release() || this->entries.size() >= this->options.maximumNames))) {
        return grant;
    }
    Entry &entry = found == this->entries.end() ? this->entries[lease.name()] : found->second;
    const bool sameHolder = entry.holder == request.holder() && entry.holderIncarnation == request.holder_incarnation();
    if (lease.release()) {
        // A release ends only the grant of its epoch: a delayed release must not end a later grant to the same holder.
        if (sameHolder && entry.epoch == lease.epoch()) {
            entry.expiry = std::min(entry.expiry, now);
        }
    } else if (mayGrant(entry, sameHolder, lease.epoch(), now)) {
        entry.holder = request.holder();
        entry.holderIncarnation = request.holder_incarnation();
        entry.epoch = lease.epoch() == 0 ? entry.epoch + 1 : lease.epoch();
        entry.expiry = now + duration;
        grant.set_granted(true);
    } else if (now < entry.expiry) {
        grant.set_wait_milliseconds(static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(entry.expiry - now).count()));
    }
    grant.set_epoch(entry.epoch);
    return grant;
}

} // namespace Hyssophall
