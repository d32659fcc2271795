#include "process/fleet/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace Hyssophall {

namespace {

/// Each message has the heartbeats of a third of the members where they fit. A VM gets 16 messages a second, so the chance that
/// none in 4 s, after which a member is dead, has a given member is below 1 in 10^11.
constexpr std::size_t smallestRun = 32;
constexpr std::size_t runDivisor = 3;
/// Encoded size of an entry of HeartbeatDigest: heartbeat up to 3 in the first 6 days, tag 1, lag 1.
constexpr std::size_t positionedBytes = 5;
constexpr std::size_t hashBytes = 4;
/// A VM that met no other roster version for this time, in about 50 messages, takes it that its own is in force everywhere.
constexpr std::chrono::seconds rosterDifferenceLimit{3};

} // namespace

std::uint32_t detail::memberHash(std::string_view id)
{
    return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0));
}

std::size_t Membership::addStates(FleetMessages::ExchangeMessage &message, std::size_t budget)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Known *> added;
    std::size_t used = 0;
    for (const std::pair<unsigned, std::string> &changed : this->changedStates) {
        const KnownMembers::iterator found = this->known.find(changed.second);
        // A member that was restarted since has an unknown incarnation until its state comes.
        if (found == this->known.end() || found->second.state.incarnation() == 0) {
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
    for (Known *member : added) {
        this->countStateSend(*member);
    }
    return used;
}

void Membership::addHeartbeats(
    FleetMessages::ExchangeMessage &message, std::size_t budget, std::uint64_t random, std::optional<std::uint64_t> peerRosterVersion)
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    const bool byHashes = peerRosterVersion ? *peerRosterVersion != this->version : now - this->lastRosterDifference < rosterDifferenceLimit;
    const std::size_t wanted = std::max(smallestRun, this->ordered.size() / runDivisor);
    const std::size_t count = std::min({wanted, this->ordered.size(), budget / (positionedBytes + (byHashes ? hashBytes : 0))});
    if (count == 0) {
        return;
    }
    FleetMessages::HeartbeatDigest &digest = *message.mutable_heartbeats();
    const std::size_t first = static_cast<std::size_t>(random % this->ordered.size());
    digest.set_first_position(static_cast<std::uint32_t>(first));
    for (std::size_t offset = 0; offset < count; ++offset) {
        const Known &member = *this->ordered[(first + offset) % this->ordered.size()];
        if (byHashes) {
            digest.add_members(detail::memberHash(member.state.id()));
        }
        this->addHeartbeat(digest, member, message.sender().catalogue_version(), now);
    }
}

void Membership::addHeartbeat(FleetMessages::HeartbeatDigest &digest, const Known &member, std::uint64_t ownVersion, SteadyTime now) const
{
    const bool isFresh = member.fresh != SteadyTime() && now - member.fresh < deadAfter;
    digest.add_heartbeats(isFresh ? member.state.heartbeat() : 0);
    digest.mutable_incarnation_tags()->push_back(static_cast<char>(member.incarnationTag));
    digest.add_version_lags(isFresh ? static_cast<std::int64_t>(ownVersion - member.state.catalogue_version()) : 0);
}

void Membership::addCorrection(FleetMessages::ExchangeMessage &message, const FleetMessages::MemberState &sender) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const KnownMembers::const_iterator found = this->known.find(sender.id());
    if (found != this->known.end() && found->second.state.heartbeat() >= sender.heartbeat() && found->second.state.incarnation() != sender.incarnation()) {
        *message.add_members() = found->second.state;
    }
}

void Membership::addAllStates(FleetMessages::ExchangeMessage &message) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    message.clear_members();
    for (const KnownMembers::value_type &entry : this->known) {
        if (entry.second.state.incarnation() != 0) {
            *message.add_members() = entry.second.state;
        }
    }
}

} // namespace Hyssophall
