#include "process/fleet/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace Hyssophall {

namespace {

/// Each message holds the heartbeats of a third of the members if they fit. A VM receives 16 messages a second, and a member is
/// considered dead after 4 s. The probability that no message of these 4 s holds a given member is below 1 in 10^11.
constexpr std::size_t minimumRunLength = 32;
constexpr std::size_t runDivisor = 3;
/// Encoded bytes per entry of HeartbeatDigest: heartbeat up to 3 (during the first 6 days), incarnation tag 1, version lag 1.
constexpr std::size_t bytesPerEntry = 5;
/// Additional bytes per entry if members are identified by hashes instead of positions.
constexpr std::size_t bytesPerHash = 4;
/// A VM that received no other roster version for this time, which is about 50 messages, assumes that all VMs have its version.
constexpr std::chrono::seconds rosterDifferenceTimeout{3};

} // namespace

std::uint32_t detail::memberHash(std::string_view id)
{
    return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0));
}

std::size_t Membership::addStates(FleetMessages::ExchangeMessage &message, std::size_t budget)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<MemberEntry *> added;
    std::size_t used = 0;
    for (const std::pair<unsigned, std::string> &changed : this->queuedStates) {
        const MemberMap::iterator found = this->membersById.find(changed.second);
        // The incarnation is unknown if the member was restarted in the meantime and its full state hasn't arrived yet.
        if (found == this->membersById.end() || found->second.state.incarnation() == 0) {
            continue;
        }
        const std::size_t size = found->second.state.ByteSizeLong() + 2;
        if (used + size > budget) {
            break;
        }
        used += size;
        added.push_back(&found->second);
        *message.add_members() = found->second.state;
    }
    for (MemberEntry *member : added) {
        this->countStateSend(*member);
    }
    return used;
}

void Membership::addHeartbeats(
    FleetMessages::ExchangeMessage &message, std::size_t budget, std::uint64_t random, std::optional<std::uint64_t> peerRosterVersion)
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool byHashes = peerRosterVersion ? *peerRosterVersion != this->version : now - this->lastRosterDifference < rosterDifferenceTimeout;
    const std::size_t wanted = std::max(minimumRunLength, this->rosterOrder.size() / runDivisor);
    const std::size_t count = std::min({wanted, this->rosterOrder.size(), budget / (bytesPerEntry + (byHashes ? bytesPerHash : 0))});
    if (count == 0) {
        return;
    }
    FleetMessages::HeartbeatDigest &digest = *message.mutable_heartbeats();
    const std::size_t first = static_cast<std::size_t>(random % this->rosterOrder.size());
    digest.set_first_position(static_cast<std::uint32_t>(first));
    for (std::size_t offset = 0; offset < count; ++offset) {
        const MemberEntry &member = *this->rosterOrder[(first + offset) % this->rosterOrder.size()];
        if (byHashes) {
            digest.add_members(detail::memberHash(member.state.id()));
        }
        this->addHeartbeat(digest, member, message.sender().catalogue_version(), now);
    }
}

void Membership::addHeartbeat(FleetMessages::HeartbeatDigest &digest, const MemberEntry &member, std::uint64_t ownVersion, SteadyTime now) const
{
    const bool isFresh = member.lastSeen != SteadyTime() && now - member.lastSeen < deadAfter;
    digest.add_heartbeats(isFresh ? member.state.heartbeat() : 0);
    digest.mutable_incarnation_tags()->push_back(static_cast<char>(member.incarnationTag));
    digest.add_version_lags(isFresh ? static_cast<std::int64_t>(ownVersion - member.state.catalogue_version()) : 0);
}

void Membership::addCorrection(FleetMessages::ExchangeMessage &message, const FleetMessages::MemberState &sender) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const MemberMap::const_iterator found = this->membersById.find(sender.id());
    if (found != this->membersById.end() && found->second.state.heartbeat() >= sender.heartbeat()
        && found->second.state.incarnation() != sender.incarnation()) {
        *message.add_members() = found->second.state;
    }
}

void Membership::addAllStates(FleetMessages::ExchangeMessage &message) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    message.clear_members();
    for (const MemberMap::value_type &entry : this->membersById) {
        if (entry.second.state.incarnation() != 0) {
            *message.add_members() = entry.second.state;
        }
    }
}

} // namespace Hyssophall
