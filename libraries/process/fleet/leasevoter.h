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
 * A voter for leases: records to which holder it granted each name, with which epoch, and until when.
 *
 * Does no I/O and is not thread-safe. A grant counts on the voter's clock from the receipt of the request. The holder counts from the send time,
 * which is earlier.
 */
class LeaseVoter
{
public:
    struct Options {
        /// Maximum duration of a lease. A restarted voter also abstains for this long, because it has lost the record of its grants.
        std::chrono::milliseconds maximumDuration{3000};
        /// Maximum number of names. Further names are refused instead of evicting one, because its epoch would be lost.
        std::size_t maximumNames = 65536;
    };

    /// @p self and @p incarnation identify this process; @p start is the time at which it started.
    LeaseVoter(Options options, std::string self, std::uint64_t incarnation, SteadyTime start);

    /// Decides on a batch of requests. The reply reports @p catalogueVersion to the holder.
    FleetMessages::GrantLeasesReply grant(
        const FleetMessages::GrantLeasesRequest &request, const Roster &roster, std::uint64_t catalogueVersion, SteadyTime now);

private:
    struct Entry {
        std::string holder;
        std::uint64_t holderIncarnation = 0;
        std::uint64_t epoch = 0;
        SteadyTime expiry;
    };

    bool mustAbstain(const Roster &roster, SteadyTime now) const;
    FleetMessages::LeaseGrant decide(const FleetMessages::GrantLeasesRequest &request, const FleetMessages::LeaseRequest &lease, SteadyTime now);
    static bool mayGrant(const Entry &entry, bool sameHolder, std::uint64_t epoch, SteadyTime now);

    Options options;
    std::string self;
    std::uint64_t incarnation;
    SteadyTime start;
    std::unordered_map<std::string, Entry> entries;
};

} // namespace Hyssophall
