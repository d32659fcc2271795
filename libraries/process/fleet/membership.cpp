#include "process/fleet/membership.h"

#include "process/fleet/repetition.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// Heartbeats count from zero, a few a second. A greater value would make all later ones of that member look old.
constexpr std::uint64_t greatestHeartbeat = 1ULL << 48U;

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
    for (const std::pair<const std::string, Known> &entry : this->known) {
        const Known &member = entry.second;
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
    std::erase_if(this->changedStates, [this](const std::pair<unsigned, std::string> &state) { return !this->known.contains(state.second); });
    this->byHash.clear();
    this->ordered.clear();
    for (KnownMembers::value_type &entry : this->known) {
        this->ordered.push_back(&entry.second);
        const auto [position, added] = this->byHash.emplace(detail::memberHash(entry.first), &entry.second);
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
        const KnownMembers::iterator found = this->known.find(state.id());
        if (this->mergeState(state, now) && found != this->known.end()) {
            // A peer that has this state already needs one send fewer.
            this->countStateSend(found->second);
        }
    }
    if (message.roster_version() != this->version) {
        this->lastRosterDifference = now;
    }
    this->mergeHeartbeats(message, now);
}

void Membership::continueAbove(std::uint64_t heartbeat)
{
    if (heartbeat >= this->ownState.heartbeat()) {
        this->ownState.set_heartbeat(heartbeat + 1);
    }
}

bool Membership::mergeState(const FleetMessages::MemberState &state, SteadyTime now)
{
    if (state.heartbeat() > greatestHeartbeat) {
        return false;
    }
    if (this->isSelf(state.id())) {
        if (state.incarnation() != this->ownState.incarnation()) {
            this->continueAbove(state.heartbeat());
        }
        return false;
    }
    const KnownMembers::iterator found = this->known.find(state.id());
    if (found == this->known.end()) {
        return false;
    }
    Known &member = found->second;
    const bool same = member.state.incarnation() == state.incarnation() && member.state.leaving() == state.leaving();
    const bool completes = member.state.incarnation() == 0 && member.incarnationTag == tagOf(state.incarnation());
    const bool isFresher = state.heartbeat() > member.state.heartbeat();
    if (isFresher) {
        member.state = state;
        member.fresh = now;
    } else if (completes) {
        member.state.set_incarnation(state.incarnation());
        member.state.set_leaving(state.leaving());
    }
    if (isFresher || completes) {
        member.incarnationTag = tagOf(state.incarnation());
        if (!same) {
            this->passOnState(member);
        }
    }
    return same;
}

void Membership::passOnState(Known &member)
{
    this->changedStates.erase({member.stateSends, member.state.id()});
    member.stateSends = 0;
    this->changedStates.emplace(0, member.state.id());
}

unsigned Membership::stateRepetition(const Known &member) const
{
    // Heartbeats and round trips tell of a new incarnation too; only a leaving member is told by its state alone.
    const unsigned repetition = repetitionFor(this->known.size());
    return member.state.leaving() ? repetition : repetition / 4;
}

void Membership::countStateSend(Known &member)
{
    if (this->changedStates.erase({member.stateSends, member.state.id()}) == 0) {
        return;
    }
    ++member.stateSends;
    if (member.stateSends < this->stateRepetition(member)) {
        this->changedStates.emplace(member.stateSends, member.state.id());
    }
}

Membership::Known *Membership::memberOf(const FleetMessages::ExchangeMessage &message, int index)
{
    const FleetMessages::HeartbeatDigest &digest = message.heartbeats();
    if (index < digest.members_size()) {
        const std::unordered_map<std::uint32_t, Known *>::iterator found = this->byHash.find(digest.members(index));
        return found == this->byHash.end() ? nullptr : found->second;
    }
    if (digest.members_size() > 0 || message.roster_version() != this->version || this->ordered.empty()) {
        return nullptr;
    }
    return this->ordered[(digest.first_position() + static_cast<std::size_t>(index)) % this->ordered.size()];
}

void Membership::mergeHeartbeats(const FleetMessages::ExchangeMessage &message, SteadyTime now)
{
    const FleetMessages::HeartbeatDigest &digest = message.heartbeats();
    const std::string &tags = digest.incarnation_tags();
    const int count = std::min({digest.heartbeats_size(), static_cast<int>(tags.size()), digest.version_lags_size()});
    for (int index = 0; index < count; ++index) {
        Known *member = this->memberOf(message, index);
        if (member != nullptr && digest.heartbeats(index) > 0) {
            const std::uint8_t tag = static_cast<std::uint8_t>(tags[static_cast<std::size_t>(index)]);
            const std::uint64_t version = message.sender().catalogue_version() - static_cast<std::uint64_t>(digest.version_lags(index));
            this->mergeHeartbeat(*member, digest.heartbeats(index), tag, version, now);
        }
    }
}

void Membership::mergeHeartbeat(Known &member, std::uint64_t heartbeat, std::uint8_t tag, std::uint64_t version, SteadyTime now)
{
    if (heartbeat > greatestHeartbeat) {
        return;
    }
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
    member.fresh = now;
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
