#pragma once

#include "fleet.pb.h"
#include "process/fleet/fleetcontext.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace Hyssophall {

/**
 * The memory of one voter for leases: which holder it granted each name to, and until when.
 *
 * Pure and not thread-safe. Times are taken on the voter's clock at the receipt of a request, which is later than the holder's own count begins.
 */
class LeaseVoter
{
public:
    struct Options {
        /// Longest lease that is granted, and how long the voter is silent after its start.
        std::chrono::milliseconds longestLease{3000};
        /// Names that are remembered; further ones are refused, because forgetting one would lose its epoch.
        std::size_t maximumNames = 65536;
    };

    /// @p self and @p incarnation name this process; @p start is when it started.
    LeaseVoter(Options options, std::string self, std::uint64_t incarnation, SteadyTime start);

    /// Decides on a batch of requests. @p catalogueVersion is told to the holder.
    FleetMessages::GrantLeasesReply grant(
        const FleetMessages::GrantLeasesRequest &request, const Roster &roster, std::uint64_t catalogueVersion, SteadyTime now);

private:
    struct Entry {
        std::string holder;
        std::uint64_t holderIncarnation = 0;
        std::uint64_t epoch = 0;
        SteadyTime expiry;
    };

    bool isSilent(const Roster &roster, SteadyTime now) const;
    FleetMessages::LeaseGrant decide(const FleetMessages::GrantLeasesRequest &request, const FleetMessages::LeaseRequest &lease, SteadyTime now);
    static bool mayGrant(const Entry &entry, bool sameHolder, std::uint64_t epoch, SteadyTime now);

    Options options;
    std::string self;
    std::uint64_t incarnation;
    SteadyTime start;
    std::unordered_map<std::string, Entry> entries;
};

} // namespace Hyssophall
