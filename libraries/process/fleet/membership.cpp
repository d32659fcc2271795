#include "process/fleet/membership.h"

#include "process/fleet/repetition.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Heartbeats start at zero and increase a few times a second. A greater value is invalid, and is ignored because all correct
/// heartbeats of that member would look old after it.
constexpr std::uint64_t maximumHeartbeat = 1ULL << 48U;

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

Liveness Membership::livenessOf(const MemberEntry &member, SteadyTime now) const
{
    if (this->isSelf(member.state.id())) {
        return this->ownState.leaving() ? Liveness::Leaving : Liveness::Alive;
    }
    if (member.state.leaving()) {
        return Liveness::Leaving;
    }
    if (member.lastSeen == SteadyTime() || now - member.lastSeen >= deadAfter) {
        return Liveness::Dead;
    }
    return now - member.lastSeen >= suspectAfter ? Liveness::Suspect : Liveness::Alive;
}

std::vector<std::string> Membership::liveMembers() const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> live;
    for (const MemberMap::value_type &entry : this->membersById) {
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
    const MemberMap::const_iterator found = this->membersById.find(memberId);
    return found == this->membersById.end() ? std::string() : found->second.address;
}

std::vector<MemberView::MemberStatus> Membership::members() const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<MemberStatus> result;
    for (const std::pair<const std::string, MemberEntry> &entry : this->membersById) {
        const MemberEntry &member = entry.second;
        const FleetMessages::MemberState &state = this->isSelf(entry.first) ? this->ownState : member.state;
        result.push_back({entry.first, member.address, member.failureDomain, this->livenessOf(member, now), state.incarnation(), state.catalogue_version()});
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
    this->lastRosterDifference = this->clock();
    MemberMap next;
    for (const CatalogueMessages::Member &member : roster.members()) {
        const MemberMap::iterator previous = this->membersById.find(member.id());
        MemberEntry entry = previous == this->membersById.end() ? MemberEntry() : std::move(previous->second);
        entry.state.set_id(member.id());
        entry.address = member.fleet_address();
        entry.failureDomain = member.failure_domain();
        next.emplace(member.id(), std::move(entry));
    }
    this->membersById = std::move(next);
    std::erase_if(this->queuedStates, [this](const std::pair<unsigned, std::string> &state) { return !this->membersById.contains(state.second); });
    this->membersByHash.clear();
    this->rosterOrder.clear();
    for (MemberMap::value_type &entry : this->membersById) {
        this->rosterOrder.push_back(&entry.second);
        const auto [position, added] = this->membersByHash.emplace(detail::memberHash(entry.first), &entry.second);
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
    return this->membersById.size();
}

bool Membership::contains(const std::string &memberId) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->membersById.contains(memberId);
}

void Membership::advanceHeartbeat(std::uint64_t catalogueVersion)
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
    const MemberMap::iterator found = this->membersById.find(member.id());
    if (found != this->membersById.end() && found->second.state.incarnation() == member.incarnation()) {
        found->second.lastSeen = now;
    }
}

void Membership::merge(const FleetMessages::ExchangeMessage &message)
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    this->mergeState(message.sender(), now);
    for (const FleetMessages::MemberState &state : message.members()) {
        const MemberMap::iterator found = this->membersById.find(state.id());
        if (this->mergeState(state, now) && found != this->membersById.end()) {
            // The peer has this state already, which counts as one of the sends.
            this->countStateSend(found->second);
        }
    }
    if (message.roster_version() != this->version) {
        this->lastRosterDifference = now;
    }
    this->mergeHeartbeats(message, now);
}

void Membership::raiseOwnHeartbeatAbove(std::uint64_t heartbeat)
{
    if (heartbeat >= this->ownState.heartbeat()) {
        this->ownState.set_heartbeat(heartbeat + 1);
    }
}

bool Membership::mergeState(const FleetMessages::MemberState &state, SteadyTime now)
{
    if (state.heartbeat() > maximumHeartbeat) {
        return false;
    }
    if (this->isSelf(state.id())) {
        if (state.incarnation() != this->ownState.incarnation()) {
            this->raiseOwnHeartbeatAbove(state.heartbeat());
        }
        return false;
    }
    const MemberMap::iterator found = this->membersById.find(state.id());
    if (found == this->membersById.end()) {
        return false;
    }
    MemberEntry &member = found->second;
    const bool same = member.state.incarnation() == state.incarnation() && member.state.leaving() == state.leaving();
    const bool suppliesIncarnation = member.state.incarnation() == 0 && member.incarnationTag == tagOf(state.incarnation());
    const bool isFresher = state.heartbeat() > member.state.heartbeat();
    if (isFresher) {
        member.state = state;
        member.lastSeen = now;
    } else if (suppliesIncarnation) {
        member.state.set_incarnation(state.incarnation());
        member.state.set_leaving(state.leaving());
    }
    if (isFresher || suppliesIncarnation) {
        member.incarnationTag = tagOf(state.incarnation());
        if (!same) {
            this->queueState(member);
        }
    }
    return same;
}

void Membership::queueState(MemberEntry &member)
{
    this->queuedStates.erase({member.stateSends, member.state.id()});
    member.stateSends = 0;
    this->queuedStates.emplace(0, member.state.id());
}

unsigned Membership::stateSendLimit(const MemberEntry &member) const
{
    // A new incarnation also spreads through heartbeats and round trips. The leaving flag spreads only in the full state, so
    // that is sent more often.
    const unsigned repetition = repetitionFor(this->membersById.size());
    return member.state.leaving() ? repetition : repetition / 4;
}

void Membership::countStateSend(MemberEntry &member)
{
    if (this->queuedStates.erase({member.stateSends, member.state.id()}) == 0) {
        return;
    }
    ++member.stateSends;
    if (member.stateSends < this->stateSendLimit(member)) {
        this->queuedStates.emplace(member.stateSends, member.state.id());
    }
}

Membership::MemberEntry *Membership::memberOf(const FleetMessages::ExchangeMessage &message, int index)
{
    const FleetMessages::HeartbeatDigest &digest = message.heartbeats();
    if (index < digest.members_size()) {
        const std::unordered_map<std::uint32_t, MemberEntry *>::iterator found = this->membersByHash.find(digest.members(index));
        return found == this->membersByHash.end() ? nullptr : found->second;
    }
    if (digest.members_size() > 0 || message.roster_version() != this->version || this->rosterOrder.empty()) {
        return nullptr;
    }
    return this->rosterOrder[(digest.first_position() + static_cast<std::size_t>(index)) % this->rosterOrder.size()];
}

void Membership::mergeHeartbeats(const FleetMessages::ExchangeMessage &message, SteadyTime now)
{
    const FleetMessages::HeartbeatDigest &digest = message.heartbeats();
    const std::string &tags = digest.incarnation_tags();
    const int count = std::min({digest.heartbeats_size(), static_cast<int>(tags.size()), digest.version_lags_size()});
    for (int index = 0; index < count; ++index) {
        MemberEntry *member = this->memberOf(message, index);
        if (member != nullptr && digest.heartbeats(index) > 0) {
            const std::uint8_t tag = static_cast<std::uint8_t>(tags[static_cast<std::size_t>(index)]);
            const std::uint64_t version = message.sender().catalogue_version() - static_cast<std::uint64_t>(digest.version_lags(index));
            this->mergeHeartbeat(*member, digest.heartbeats(index), tag, version, now);
        }
    }
}

void Membership::mergeHeartbeat(MemberEntry &member, std::uint64_t heartbeat, std::uint8_t tag, std::uint64_t version, SteadyTime now)
{
    if (heartbeat > maximumHeartbeat) {
        return;
    }
    if (this->isSelf(member.state.id())) {
        if (tag != tagOf(this->ownState.incarnation())) {
            this->raiseOwnHeartbeatAbove(heartbeat);
        }
        return;
    }
    if (heartbeat <= member.state.heartbeat()) {
        return;
    }
    if (member.state.incarnation() != 0 && tag != member.incarnationTag) {
        // The member was restarted. Its new incarnation is unknown until its full state arrives in another message.
        member.state.set_incarnation(0);
        member.state.set_leaving(false);
    }
    member.incarnationTag = tag;
    member.state.set_heartbeat(heartbeat);
    member.state.set_catalogue_version(version);
    member.lastSeen = now;
}

std::vector<std::string> Membership::peers(bool alive) const
{
    const SteadyTime now = this->clock();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> result;
    for (const MemberMap::value_type &entry : this->membersById) {
        const Liveness liveness = this->livenessOf(entry.second, now);
        const bool matches = alive ? liveness == Liveness::Alive || liveness == Liveness::Suspect : liveness == Liveness::Dead;
        if (matches && !this->isSelf(entry.first) && entry.second.address != this->ownAddress) {
            result.push_back(entry.first);
        }
    }
    return result;
}

} // namespace Hyssophall
