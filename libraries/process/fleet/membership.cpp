#include "process/fleet/membership.h"

#include "process/fleet/repetition.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Sends of one heartbeat value. Newer values follow each round, so few sends of each are enough.
constexpr unsigned heartbeatRepetition = 3;
/// Encoded size of an entry of HeartbeatDigest: hash 4, heartbeat up to 4, tag 1, lag 1.
constexpr std::size_t heartbeatBytes = 10;

std::uint32_t memberHash(std::string_view id)
{
    return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0));
}

std::uint8_t tagOf(std::uint64_t incarnation)
{
    return static_cast<std::uint8_t>(incarnation);
}

} // namespace

Membership::Membership(Self self, SteadyClock clock)
    : ownAddress(std::move(self.address))
    , clock(std::move(clock))
{
    this->ownState.set_id(self.id);
    this->ownState.set_incarnation(self.incarnation);
}

bool Membership::isSelf(const std::string &id) const
{
    return id == this->ownState.id();
}

Liveness Membership::livenessOf(const Known &member, SteadyTime now) const
{
    if (this->isSelf(member.state.id())) {
        return this->ownState.leaving() ? Liveness::Leaving : Liveness::Alive;
    }
    if (member.state.leaving()) {
        return Liveness::Leaving;
    }
    if (member.fresh == SteadyTime() || now - member.fresh >= deadAfter) {
        return Liveness::Dead;
    }
    return now - member.fresh >= suspectAfter ? Liveness::Suspect : Liveness::Alive;
}

std::vector<std::string> Membership::liveMembers() const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> live;
    for (const KnownMembers::value_type &entry : this->known) {
        const Liveness liveness = this->livenessOf(entry.second, now);
        if (liveness == Liveness::Alive || liveness == Liveness::Suspect) {
            live.push_back(entry.first);
        }
    }
    return live;
}

std::string Membership::addressOf(const std::string &memberId) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const KnownMembers::const_iterator found = this->known.find(memberId);
    return found == this->known.end() ? std::string() : found->second.address;
}

std::vector<MemberView::MemberStatus> Membership::members() const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<MemberStatus> result;
    for (const auto &[id, member] : this->known) {
        const FleetMessages::MemberState &state = this->isSelf(id) ? this->ownState : member.state;
        result.push_back({id, member.address, member.failureDomain, this->livenessOf(member, now), state.incarnation(), state.catalogue_version()});
    }
    return result;
}

void Membership::setRoster(const Roster &roster)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (roster.version() <= this->version) {
        return;
    }
    this->version = roster.version();
    KnownMembers next;
    for (const CatalogueMessages::Member &member : roster.members()) {
        const KnownMembers::iterator previous = this->known.find(member.id());
        Known entry = previous == this->known.end() ? Known() : std::move(previous->second);
        entry.state.set_id(member.id());
        entry.address = member.fleet_address();
        entry.failureDomain = member.failure_domain();
        next.emplace(member.id(), std::move(entry));
    }
    this->known = std::move(next);
    this->byHash.clear();
    for (KnownMembers::value_type &entry : this->known) {
        const auto [position, added] = this->byHash.emplace(memberHash(entry.first), &entry.second);
        if (!added) {
            position->second = nullptr;
        }
    }
}

std::uint64_t Membership::rosterVersion() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->version;
}

std::size_t Membership::rosterSize() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->known.size();
}

bool Membership::contains(const std::string &memberId) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->known.contains(memberId);
}

void Membership::beat(std::uint64_t catalogueVersion)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->ownState.set_heartbeat(this->ownState.heartbeat() + 1);
    this->ownState.set_catalogue_version(catalogueVersion);
}

void Membership::leave()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->ownState.set_leaving(true);
    this->ownState.set_heartbeat(this->ownState.heartbeat() + 1);
}

FleetMessages::MemberState Membership::self() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->ownState;
}

void Membership::confirm(const FleetMessages::MemberState &member)
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->mergeState(member, now);
    const KnownMembers::iterator found = this->known.find(member.id());
    if (found != this->known.end() && found->second.state.incarnation() == member.incarnation()) {
        found->second.fresh = now;
    }
}

void Membership::merge(const FleetMessages::ExchangeMessage &message)
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->mergeState(message.sender(), now);
    for (const FleetMessages::MemberState &state : message.members()) {
        this->mergeState(state, now);
    }
    this->mergeHeartbeats(message.heartbeats(), message.sender().catalogue_version(), now);
}

void Membership::continueAbove(std::uint64_t heartbeat)
{
    if (heartbeat >= this->ownState.heartbeat()) {
        this->ownState.set_heartbeat(heartbeat + 1);
    }
}

void Membership::mergeState(const FleetMessages::MemberState &state, SteadyTime now)
{
    if (this->isSelf(state.id())) {
        if (state.incarnation() != this->ownState.incarnation()) {
            this->continueAbove(state.heartbeat());
        }
        return;
    }
    const KnownMembers::iterator found = this->known.find(state.id());
    if (found == this->known.end()) {
        return;
    }
    Known &member = found->second;
    const bool completes = member.state.incarnation() == 0 && member.incarnationTag == tagOf(state.incarnation());
    if (state.heartbeat() <= member.state.heartbeat() && !completes) {
        return;
    }
    if (state.heartbeat() > member.state.heartbeat()) {
        member.fresh = now;
        member.heartbeatSends = 0;
    }
    if (member.state.incarnation() != state.incarnation() || member.state.leaving() != state.leaving()) {
        member.stateSends = 0;
    }
    const std::uint64_t heartbeat = std::max(state.heartbeat(), member.state.heartbeat());
    const std::uint64_t version = std::max(state.catalogue_version(), member.state.catalogue_version());
    member.state = state;
    member.state.set_heartbeat(heartbeat);
    member.state.set_catalogue_version(completes ? version : state.catalogue_version());
    member.incarnationTag = tagOf(state.incarnation());
}

void Membership::mergeHeartbeats(const FleetMessages::HeartbeatDigest &digest, std::uint64_t senderVersion, SteadyTime now)
{
    const int count
        = std::min({digest.members_size(), digest.heartbeats_size(), static_cast<int>(digest.incarnation_tags().size()), digest.version_lags_size()});
    for (int index = 0; index < count; ++index) {
        const std::unordered_map<std::uint32_t, Known *>::iterator found = this->byHash.find(digest.members(index));
        if (found != this->byHash.end() && found->second != nullptr) {
            const std::uint8_t tag = static_cast<std::uint8_t>(digest.incarnation_tags()[static_cast<std::size_t>(index)]);
            const std::uint64_t version = senderVersion - static_cast<std::uint64_t>(digest.version_lags(index));
            this->mergeHeartbeat(*found->second, digest.heartbeats(index), tag, version, now);
        }
    }
}

void Membership::mergeHeartbeat(Known &member, std::uint64_t heartbeat, std::uint8_t tag, std::uint64_t version, SteadyTime now)
{
    if (this->isSelf(member.state.id())) {
        if (tag != tagOf(this->ownState.incarnation())) {
            this->continueAbove(heartbeat);
        }
        return;
    }
    if (heartbeat <= member.state.heartbeat()) {
        return;
    }
    if (member.state.incarnation() != 0 && tag != member.incarnationTag) {
        // Restarted: its whole state follows in another message.
        member.state.set_incarnation(0);
        member.state.set_leaving(false);
    }
    member.incarnationTag = tag;
    member.state.set_heartbeat(heartbeat);
    member.state.set_catalogue_version(version);
    member.heartbeatSends = 0;
    member.fresh = now;
}

std::size_t Membership::addStates(FleetMessages::ExchangeMessage &message, std::size_t budget)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const unsigned repetition = repetitionFor(this->known.size());
    std::vector<Known *> changed;
    for (KnownMembers::value_type &entry : this->known) {
        if (entry.second.state.incarnation() != 0 && entry.second.stateSends < repetition) {
            changed.push_back(&entry.second);
        }
    }
    std::stable_sort(changed.begin(), changed.end(), [](const Known *left, const Known *right) { return left->stateSends < right->stateSends; });
    std::size_t used = 0;
    for (Known *member : changed) {
        const std::size_t size = member->state.ByteSizeLong() + 2;
        if (used + size > budget) {
            break;
        }
        used += size;
        ++member->stateSends;
        *message.add_members() = member->state;
    }
    return used;
}

std::vector<Membership::Known *> Membership::freshHeartbeats(SteadyTime now)
{
    std::vector<Known *> result;
    for (KnownMembers::value_type &entry : this->known) {
        Known &member = entry.second;
        if (member.fresh != SteadyTime() && now - member.fresh < suspectAfter && member.heartbeatSends < heartbeatRepetition) {
            result.push_back(&member);
        }
    }
    return result;
}

void Membership::addHeartbeats(FleetMessages::ExchangeMessage &message, std::size_t budget)
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Known *> fresh = this->freshHeartbeats(now);
    const std::size_t count = std::min(fresh.size(), budget / heartbeatBytes);
    if (count == 0) {
        return;
    }
    // Least sent first; of these the latest, since older ones are likelier to be known to the peer.
    std::nth_element(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count - 1), fresh.end(), [](const Known *left, const Known *right) {
        return left->heartbeatSends != right->heartbeatSends ? left->heartbeatSends < right->heartbeatSends : left->fresh > right->fresh;
    });
    fresh.resize(count);
    FleetMessages::HeartbeatDigest &digest = *message.mutable_heartbeats();
    const std::uint64_t ownVersion = message.sender().catalogue_version();
    for (Known *member : fresh) {
        digest.add_members(memberHash(member->state.id()));
        digest.add_heartbeats(member->state.heartbeat());
        digest.mutable_incarnation_tags()->push_back(static_cast<char>(member->incarnationTag));
        digest.add_version_lags(static_cast<std::int64_t>(ownVersion - member->state.catalogue_version()));
        ++member->heartbeatSends;
    }
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

std::vector<std::string> Membership::peers(bool alive) const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> result;
    for (const KnownMembers::value_type &entry : this->known) {
        const Liveness liveness = this->livenessOf(entry.second, now);
        const bool matches = alive ? liveness == Liveness::Alive || liveness == Liveness::Suspect : liveness == Liveness::Dead;
        if (matches && !this->isSelf(entry.first) && entry.second.address != this->ownAddress) {
            result.push_back(entry.first);
        }
    }
    return result;
}

} // namespace Hyssophall
