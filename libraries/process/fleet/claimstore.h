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
 * The claim records of one committee member. Does no I/O and is not thread-safe; the caller passes the time.
 *
 * A record is removed only when its holder releases it or when the retention has passed. A full store refuses new claims instead of evicting
 * records, because an evicted claim could let a request run twice. A group is "recovering" while this member may lack records of it, after a
 * restart or as a new member of its committee; no claim in it is granted then.
 */
class ClaimStore
{
public:
    struct Options {
        std::chrono::milliseconds retention{600000};
        /// How long a released attempt is remembered. Must be far longer than a call may be delayed in the network.
        std::chrono::milliseconds tombstoneRetention{60000};
        std::size_t maximumRecords = 200000;
        /// Limit of the total size of stored response bodies. Outcomes beyond it are stored without their bodies.
        std::size_t maximumBodyBytes = std::size_t{64} * 1024 * 1024;
        std::size_t maximumOutcomeBytes = std::size_t{16} * 1024;
        std::size_t recordsPerPage = 200;
        std::size_t bytesPerPage = std::size_t{1024} * 1024;
    };

    /// A new store is empty, and all groups are recovering until the first call of setRecovering().
    ClaimStore(Options options, SteadyTime start);

    FleetMessages::ClaimReply claim(const FleetMessages::ClaimRequest &request, std::uint64_t rosterVersion, SteadyTime now);

    /// Records the outcome of a claim, or releases the claim when the request has no outcome.
    void finish(const FleetMessages::FinishClaimRequest &request, SteadyTime now);

    /// One page of the records after the key hash in the request, limited to groups for which @p sharesGroup is true. The caller sets complete_source.
    FleetMessages::RecoverClaimsReply page(
        const FleetMessages::RecoverClaimsRequest &request, const std::function<bool(std::uint32_t)> &sharesGroup, SteadyTime now);

    /// Adds records that another member sent.
    void merge(const FleetMessages::RecoverClaimsReply &page, SteadyTime now);

    /// Sets the groups in which this member may lack records of earlier claims.
    void setRecovering(std::set<std::uint32_t> groups);
    bool isRecovering(std::uint32_t group, SteadyTime now) const;

    std::size_t size() const;

private:
    struct StoredClaim {
        FleetMessages::ClaimRecord record;
        SteadyTime created;
    };
    struct Expiry {
        SteadyTime created;
        std::string name;
    };

    void expire(SteadyTime now);
    void insert(const FleetMessages::ClaimRecord &record, SteadyTime created);
    void setOutcome(StoredClaim &stored, const FleetMessages::ClaimOutcome &outcome);
    void erase(std::map<std::string, StoredClaim>::iterator position);
    FleetMessages::ClaimRecord withAge(const StoredClaim &stored, SteadyTime now) const;
    static std::string tombstoneName(const std::string &keyHash, const std::string &attempt);

    Options options;
    SteadyTime start;
    /// By key hash, ordered for paging.
    std::map<std::string, StoredClaim> records;
    std::deque<Expiry> expiries;
    /// Released attempts with the times of release. A delayed claim or a copy from another member must not restore them.
    std::unordered_map<std::string, SteadyTime> tombstones;
    std::deque<Expiry> tombstoneExpiries;
    std::size_t bodyBytes = 0;
    bool allRecovering = true;
    std::set<std::uint32_t> recovering;
};

} // namespace Hyssophall
