#pragma once

#include "process/fleet/fleettransport.h"
#include "process/fleet/memberview.h"
#include "process/hooks.h"
#include "version/roster.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace detail {

/// Names a member in a heartbeat digest between VMs whose rosters differ.
std::uint32_t memberHash(std::string_view id);

} // namespace detail

/**
 * What this VM knows of the other members of the roster: incarnations, heartbeats and when they were last fresh.
 *
 * Heartbeats only move forward, also over a restart: a restarted member continues above the heartbeat that others
 * remember, so the greater heartbeat always belongs to the later incarnation, although incarnations are random.
 */
class Membership final : public MemberView
{
public:
    /// This VM, as the roster should have it.
    struct Self {
        std::string id;
        std::string address;
        /// Random at each start; not zero.
        std::uint64_t incarnation = 0;
    };

    /// A member without a fresh heartbeat for this time is suspect; a round of gossip takes 250 ms.
    static constexpr std::chrono::milliseconds suspectAfter{2000};
    static constexpr std::chrono::milliseconds deadAfter{4000};

    Membership(Self self, SteadyClock clock);

    std::vector<std::string> liveMembers() const override;
    std::string addressOf(const std::string &memberId) const override;
    std::vector<MemberStatus> members() const override;

    /// Takes the members of a newer roster; what is known of the members that stay is kept. An older roster is ignored.
    void setRoster(const Roster &roster);
    std::uint64_t rosterVersion() const;
    std::size_t rosterSize() const;
    bool contains(const std::string &memberId) const;

    /// Advances this VM's heartbeat, once for each round of gossip.
    void beat(std::uint64_t catalogueVersion);

    /// Marks this VM as leaving; it no longer counts among the live members.
    void leave();
    FleetMessages::MemberState self() const;

    /// Notes a completed round trip with a member.
    void confirm(const FleetMessages::MemberState &member);

    /// Takes the member states and heartbeats of a message.
    void merge(const FleetMessages::ExchangeMessage &message);

    /// Adds changed member states to a message, up to @p budget bytes. Returns the bytes used.
    std::size_t addStates(FleetMessages::ExchangeMessage &message, std::size_t budget);

    /// Adds the heartbeats of a run of members that begins at a random place, up to @p budget bytes.
    /// @p peerRosterVersion is the receiver's roster version where it is known.
    void addHeartbeats(FleetMessages::ExchangeMessage &message, std::size_t budget, std::uint64_t random, std::optional<std::uint64_t> peerRosterVersion);

    /// Adds what is known of @p sender when its own heartbeat is behind, as after a restart.
    void addCorrection(FleetMessages::ExchangeMessage &message, const FleetMessages::MemberState &sender) const;
    void addAllStates(FleetMessages::ExchangeMessage &message) const;

    /// Members other than this VM that are alive, or those that seem dead. Leaving members are in neither.
    std::vector<std::string> peers(bool alive) const;

private:
    struct Known {
        std::string address;
        std::string failureDomain;
        FleetMessages::MemberState state;
        std::uint8_t incarnationTag = 0;
        /// The epoch of the clock: never.
        SteadyTime fresh;
        unsigned stateSends = 0;
    };
    using KnownMembers = std::map<std::string, Known, std::less<>>;

    Liveness livenessOf(const Known &member, SteadyTime now) const;
    bool isSelf(const std::string &id) const;
    /// Returns whether the state was as known.
    bool mergeState(const FleetMessages::MemberState &state, SteadyTime now);
    void passOnState(Known &member);
    void countStateSend(Known &member);
    unsigned stateRepetition(const Known &member) const;
    void mergeHeartbeats(const FleetMessages::ExchangeMessage &message, SteadyTime now);
    Known *memberOf(const FleetMessages::ExchangeMessage &message, int index);
    void mergeHeartbeat(Known &member, std::uint64_t heartbeat, std::uint8_t tag, std::uint64_t version, SteadyTime now);
    void continueAbove(std::uint64_t heartbeat);
    void addHeartbeat(FleetMessages::HeartbeatDigest &digest, const Known &member, std::uint64_t ownVersion, SteadyTime now) const;

    const std::string ownAddress;
    const SteadyClock clock;
    mutable std::mutex mutex;
    FleetMessages::MemberState ownState;
    std::uint64_t version = 0;
    KnownMembers known;
    /// In the order of the roster.
    std::vector<Known *> ordered;
    /// Members whose states are still passed on, with the sends so far.
    std::set<std::pair<unsigned, std::string>> changedStates;
    /// When another roster version than this VM's was last in force somewhere.
    SteadyTime lastRosterDifference;
    /// Members by the hash that HeartbeatDigest uses; null where two members share a hash.
    std::unordered_map<std::uint32_t, Known *> byHash;
};

} // namespace Hyssophall
