#pragma once

#include "process/fleet/claimstore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace Hyssophall {

/**
 * The part of a committee member in claims: stores claims for other VMs and recovers the records that this VM lacks. Thread-safe.
 *
 * A group needs recovery after a restart of this VM, and when a roster change adds this VM to the group's committee. Recovery ends when
 * enough members of the committee have sent their records that every quorum that may have granted a claim includes at least one of them.
 */
class ClaimMember : public std::enable_shared_from_this<ClaimMember>
{
public:
    static std::shared_ptr<ClaimMember> create(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups);

    /// Handlers of the calls of the same names, see FleetHandlers.
    FleetMessages::ClaimReply claim(const FleetMessages::ClaimRequest &request);
    FleetMessages::FinishClaimReply finishClaim(const FleetMessages::FinishClaimRequest &request);
    FleetMessages::RecoverClaimsReply recoverClaims(const FleetMessages::RecoverClaimsRequest &request);

    /// Applies the current roster and requests missing records from other members. Called every 100 ms by one thread of QuorumNode.
    void step();

    /// Number of groups whose recovery has not ended. Claims in them are not granted.
    std::size_t recoveringGroups() const;

private:
    /// The transfer, page by page, of all records of another member.
    struct Transfer {
        /// Groups that needed records of this member when the transfer began. Its completion counts for these only.
        std::set<std::uint32_t> groups;
        std::string after;
        std::uint64_t rosterVersion = 0;
        SteadyTime requestTime;
    };
    /// The recovery of one group; sources are the members that have sent all their records.
    struct Recovery {
        SteadyTime since;
        std::set<std::string> sources;
    };

    ClaimMember(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups);
    /// @p ownGroups are the groups whose committees include this VM in @p roster. The caller computes them before it locks the mutex.
    void applyRoster(const Roster &roster, const std::set<std::uint32_t> &ownGroups, SteadyTime now);
    void endRecoveries(const Roster &roster, SteadyTime now);
    void startTransfers(const Roster &roster, SteadyTime now);
    void requestPage(const CatalogueMessages::Member &source);
    void handlePage(const CatalogueMessages::Member &source, const boost::leaf::result<FleetMessages::RecoverClaimsReply> &reply);
    void updateStoredRecoveries();
    static std::size_t requiredSources(const Committee &committee);

    FleetContext context;
    ClaimStore::Options options;
    std::shared_ptr<ClaimGroups> groups;
    mutable std::mutex mutex;
    ClaimStore store;
    bool started = false;
    /// True when this VM has the records of all claims that it granted, so that others may count it as a complete source.
    bool hasCompleteRecords = false;
    SteadyTime start;
    std::uint64_t rosterVersion = 0;
    std::set<std::uint32_t> currentGroups;
    std::map<std::uint32_t, Recovery> recoveries;
    std::map<std::string, Transfer> transfers;
};

} // namespace Hyssophall
