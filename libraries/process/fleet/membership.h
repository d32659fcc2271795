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

/// Identifies a member in a HeartbeatDigest between VMs whose rosters differ.
std::uint32_t memberHash(std::string_view id);

} // namespace detail

/**
 * The state of each roster member as this VM has received it: its incarnation, its heartbeat and when that last increased.
 *
 * A member's heartbeat only increases, even across restarts: a restarted member continues above the heartbeat that the others
 * have stored. Incarnations are random and can't be ordered, but the greater heartbeat always belongs to the later one.
 */
class Membership final : public MemberView
{
public:
    /// Identity of this VM. Id and address should equal its entry in the roster.
    struct Self {
        std::string id;
        std::string address;
        /// Chosen at random at each start of the process; not zero.
        std::uint64_t incarnation = 0;
    };

    /// A member is suspect if its heartbeat hasn't increased for this time. Gossip rounds are 250 ms apart.
    static constexpr std::chrono::milliseconds suspectAfter{2000};
    /// A member is considered dead if its heartbeat hasn't increased for this time.
    static constexpr std::chrono::milliseconds deadAfter{4000};

    Membership(Self self, SteadyClock clock);

    std::vector<std::string> liveMembers() const override;
    std::string addressOf(const std::string &memberId) const override;
    std::vector<MemberStatus> members() const override;

    /// Replaces the member list by that of a newer roster. The state of members in both rosters is kept. An older roster is ignored.
    void setRoster(const Roster &roster);
    std::uint64_t rosterVersion() const;
    std::size_t rosterSize() const;
    bool contains(const std::string &memberId) const;

    /// Increments this VM's heartbeat. Called once per gossip round.
    void advanceHeartbeat(std::uint64_t catalogueVersion);

    /// Marks this VM as leaving; it no longer counts among the live members.
    void leave();
    FleetMessages::MemberState self() const;

    /// Records a completed round trip with a member, which shows that it is alive.
    void confirm(const FleetMessages::MemberState &member);

    /// Applies the member states and heartbeats of a message.
    void merge(const FleetMessages::ExchangeMessage &message);

    /// Adds queued member states to a message, up to @p budget bytes. Returns the number of bytes used.
    std::size_t addStates(FleetMessages::ExchangeMessage &message, std::size_t budget);

    /// Adds the heartbeats of consecutive members of the roster, starting at position @p random modulo the roster size, up to
    /// @p budget bytes. @p peerRosterVersion is the receiver's roster version if it is known.
    void addHeartbeats(FleetMessages::ExchangeMessage &message, std::size_t budget, std::uint64_t random, std::optional<std::uint64_t> peerRosterVersion);

    /// Adds this VM's stored state of @p sender if its heartbeat is at least the sender's and of another incarnation. A restarted
    /// member thereby learns which heartbeat it must exceed.
    void addCorrection(FleetMessages::ExchangeMessage &message, const FleetMessages::MemberState &sender) const;
    void addAllStates(FleetMessages::ExchangeMessage &message) const;

    /// Ids of the other members that are alive or suspect (@p alive is true), or of those considered dead (false).
    /// Leaving members are in neither list.
    std::vector<std::string> peers(bool alive) const;

private:
    struct MemberEntry {
        std::string address;
        std::string failureDomain;
        FleetMessages::MemberState state;
        std::uint8_t incarnationTag = 0;
        /// When the heartbeat last increased or a round trip completed; the clock's epoch if never.
        SteadyTime lastSeen;
        unsigned stateSends = 0;
    };
    using MemberMap = std::map<std::string, MemberEntry, std::less<>>;

    Liveness livenessOf(const MemberEntry &member, SteadyTime now) const;
    bool isSelf(const std::string &id) const;
    /// Returns whether incarnation and leaving flag equal the stored ones.
    bool mergeState(const FleetMessages::MemberState &state, SteadyTime now);
    void queueState(MemberEntry &member);
    void countStateSend(MemberEntry &member);
    unsigned stateSendLimit(const MemberEntry &member) const;
    void mergeHeartbeats(const FleetMessages::ExchangeMessage &message, SteadyTime now);
    MemberEntry *memberOf(const FleetMessages::ExchangeMessage &message, int index);
    void mergeHeartbeat(MemberEntry &member, std::uint64_t heartbeat, std::uint8_t tag, std::uint64_t version, SteadyTime now);
    void raiseOwnHeartbeatAbove(std::uint64_t heartbeat);
    void addHeartbeat(FleetMessages::HeartbeatDigest &digest, const MemberEntry &member, std::uint64_t ownVersion, SteadyTime now) const;

    const std::string ownAddress;
    const SteadyClock clock;
    mutable std::mutex mutex;
    FleetMessages::MemberState ownState;
    std::uint64_t version = 0;
    MemberMap membersById;
    /// The members in ascending order of their ids, which is the order of positions in HeartbeatDigest.
    std::vector<MemberEntry *> rosterOrder;
    /// (number of sends so far, member id) of the member states that are queued for sending.
    std::set<std::pair<unsigned, std::string>> queuedStates;
    /// When this VM last received a message with another roster version, or changed its own roster.
    SteadyTime lastRosterDifference;
    /// Members by the hash that HeartbeatDigest uses; null where two members share a hash.
    std::unordered_map<std::uint32_t, MemberEntry *> membersByHash;
};

} // namespace Hyssophall
