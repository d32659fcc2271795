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
 * This VM as a member of claims' committees: answers the calls of claimers and recovers the claims that it doesn't have. Thread-safe.
 *
 * A group needs recovery after a restart, and when a change of the roster brings this VM into the group's committee. It is over when enough
 * members of the committee handed over their records for one of them to be in every quorum that may have granted a claim.
 */
class ClaimMember : public std::enable_shared_from_this<ClaimMember>
{
public:
    static std::shared_ptr<ClaimMember> create(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups);

    /// The hooks for FleetHandlers.
    FleetMessages::ClaimReply claim(const FleetMessages::ClaimRequest &request);
    FleetMessages::FinishClaimReply finishClaim(const FleetMessages::FinishClaimRequest &request);
    FleetMessages::RecoverClaimsReply recoverClaims(const FleetMessages::RecoverClaimsRequest &request);

    /// Follows the roster and asks other members for what is missing. Called about four times a second by one thread.
    void step();

    /// Groups that still wait for records.
    std::size_t recoveringGroups() const;

private:
    /// One pass over the records of another member.
    struct Pass {
        /// Groups that needed recovery when the pass began, with the members that the pass counts for.
        std::set<std::uint32_t> groups;
        std::string after;
        std::uint64_t rosterVersion = 0;
        SteadyTime asked;
    };
    /// A group that needs recovery.
    struct Missing {
        SteadyTime since;
        std::set<std::string> sources;
    };

    ClaimMember(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups);
    /// @p present has the groups of this VM in @p roster, found before the lock is taken.
    void followRoster(const Roster &roster, const std::set<std::uint32_t> &present, SteadyTime now);
    void finishGroups(const Roster &roster, SteadyTime now);
    void startPasses(const Roster &roster, SteadyTime now);
    void askPage(const CatalogueMessages::Member &source);
    void takePage(const CatalogueMessages::Member &source, const boost::leaf::result<FleetMessages::RecoverClaimsReply> &reply);
    void publishRecovering();
    static std::size_t neededSources(const Committee &committee);

    FleetContext context;
    ClaimStore::Options options;
    std::shared_ptr<ClaimGroups> groups;
    mutable std::mutex mutex;
    ClaimStore store;
    bool started = false;
    /// This process forgot no claim that it granted.
    bool memoryComplete = false;
    SteadyTime start;
    std::uint64_t rosterVersion = 0;
    std::set<std::uint32_t> memberOf;
    std::map<std::uint32_t, Missing> missing;
    std::map<std::string, Pass> passes;
};

} // namespace Hyssophall
