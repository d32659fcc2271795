#pragma once

#include "fleet.pb.h"
#include "process/fleet/claimgroups.h"
#include "process/fleet/fleetcontext.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hyssophall {

/**
 * A committee member's memory of claims. Pure and not thread-safe.
 *
 * A record ends only by its holder's release or after the retention. A full store refuses new claims, because forgetting one could let a request run
 * twice. Groups that the member may have forgotten are "recovering": no claim in them is granted.
 */
class ClaimStore
{
public:
    struct Options {
        std::chrono::milliseconds retention{600000};
        /// How long a released attempt is remembered; far longer than a call may be on its way.
        std::chrono::milliseconds tombstoneRetention{60000};
        std::size_t maximumRecords = 200000;
        /// Bodies of outcomes beyond this total are not kept.
        std::size_t maximumBodyBytes = std::size_t{64} * 1024 * 1024;
        std::size_t maximumOutcomeBytes = std::size_t{16} * 1024;
        std::size_t recordsPerPage = 200;
        std::size_t bytesPerPage = std::size_t{1024} * 1024;
    };

    /// A new store remembers nothing and all groups are recovering until they are said to be complete.
    ClaimStore(Options options, SteadyTime start);

    FleetMessages::ClaimReply claim(const FleetMessages::ClaimRequest &request, std::uint64_t rosterVersion, SteadyTime now);

    /// Records an outcome, or ends the claim when the request has none.
    void finish(const FleetMessages::FinishClaimRequest &request, SteadyTime now);

    /// One page of the records that follow a key hash, of the groups that @p sharesGroup takes. The caller fills in complete_source.
    FleetMessages::RecoverClaimsReply page(
        const FleetMessages::RecoverClaimsRequest &request, const std::function<bool(std::uint32_t)> &sharesGroup, SteadyTime now);

    /// Takes records that another member handed over.
    void merge(const FleetMessages::RecoverClaimsReply &page, SteadyTime now);

    /// Sets the groups in which this member may have forgotten claims.
    void setRecovering(std::set<std::uint32_t> groups);
    bool isRecovering(std::uint32_t group, SteadyTime now) const;

    std::size_t size() const;

private:
    struct Stored {
        FleetMessages::ClaimRecord record;
        SteadyTime created;
    };
    struct Expiry {
        SteadyTime created;
        std::string name;
    };

    void expire(SteadyTime now);
    void insert(const FleetMessages::ClaimRecord &record, SteadyTime created);
    void setOutcome(Stored &stored, const FleetMessages::ClaimOutcome &outcome);
    void erase(std::map<std::string, Stored>::iterator position);
    FleetMessages::ClaimRecord aged(const Stored &stored, SteadyTime now) const;
    static std::string tombstoneName(const std::string &keyHash, const std::string &attempt);

    Options options;
    SteadyTime start;
    /// Ordered by key hash, for paging.
    std::map<std::string, Stored> records;
    std::deque<Expiry> expiries;
    /// Released attempts: their delayed claims and copies must not come back.
    std::unordered_map<std::string, SteadyTime> tombstones;
    std::deque<Expiry> tombstoneExpiries;
    std::size_t bodyBytes = 0;
    bool allRecovering = true;
    std::set<std::uint32_t> recovering;
};

} // namespace Hyssophall
