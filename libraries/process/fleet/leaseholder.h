#pragma once

#include "fleet.pb.h"
#include "process/fleet/fleetcontext.h"
#include "version/committee.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * The holder's side of leases: which voters to ask, when to renew, and which leases are held.
 *
 * Does no I/O and is not thread-safe. The first request has epoch 0, and each voter grants an epoch above all that it granted for the name.
 * The holder chooses the greatest epoch of a quorum, requests it from all voters, and holds the lease only after a quorum has granted exactly
 * this epoch. Every quorum of the next holder then includes a voter that knows the epoch, so epochs increase from holder to holder.
 */
class LeaseHolder
{
public:
    struct Options {
        std::string self;
        std::uint64_t incarnation = 0;
        std::chrono::milliseconds duration{2000};
        /// Timeout for one attempt to get a quorum.
        std::chrono::milliseconds attemptTimeout{250};
    };

    /// A batch of requests to one voter.
    struct Outgoing {
        CatalogueMessages::Member voter;
        FleetMessages::GrantLeasesRequest request;
        SteadyTime sendTime;
    };

    LeaseHolder(Options options, RandomSource random);

    /// Sets the names whose leases this VM should hold. The next tick() releases all others.
    void setWanted(const std::vector<std::string> &names);

    /// The requests that are due, one batch for each voter. @p now must have been read before they are sent, because leases count from it.
    std::vector<Outgoing> tick(SteadyTime now, const Roster &roster);

    /// Handles the reply to a batch.
    void handleReply(const Outgoing &sentBatch, const FleetMessages::GrantLeasesReply &reply, SteadyTime now);

    /// The epoch of the lease on a name, or nothing while it isn't held.
    std::optional<std::uint64_t> heldEpoch(const std::string &name, SteadyTime now) const;

    /// The names whose leases are held.
    std::vector<std::string> heldNames(SteadyTime now) const;

    /// How long the holder uses a lease: 90% of its duration. A holder whose clock is 5% slow then stops before voters whose clocks are 5% fast
    /// grant the lease to another.
    std::chrono::nanoseconds usableDuration() const;

private:
    enum class Phase {
        Idle,
        Requesting,
        Confirming,
        Held,
    };
    struct Vote {
        std::uint64_t epoch = 0;
        SteadyTime sendTime;
    };
    struct Lease {
        bool wanted = false;
        Phase phase = Phase::Idle;
        std::uint64_t epoch = 0;
        SteadyTime attemptStart;
        SteadyTime nextSend;
        SteadyTime validUntil;
        std::uint64_t committeeRoster = 0;
        Committee committee;
        std::map<std::string, Vote> votes;
        /// Voters that refused the current attempt.
        std::set<std::string> refusals;
        /// So many voters refused that the current attempt can't reach a quorum.
        bool cannotReachQuorum = false;
    };
    using Batches = std::map<std::string, Outgoing>;

    bool isRenewalDue(SteadyTime now) const;
    void advance(const std::string &name, Lease &lease, SteadyTime now, Batches &batches);
    void requestVotes(const std::string &name, Lease &lease, SteadyTime now, Batches &batches);
    void abandon(const std::string &name, Lease &lease, SteadyTime now, Batches &batches);
    void addRequest(const CatalogueMessages::Member &voter, const std::string &name, std::uint64_t epoch, bool release, SteadyTime now, Batches &batches);
    /// Records a refusal. The next tick() ends an attempt that can't reach a quorum any more.
    void handleRefusal(Lease &lease, const Outgoing &sentBatch);
    void countVotes(Lease &lease, SteadyTime now);
    std::chrono::nanoseconds randomDelay(std::chrono::nanoseconds longest);

    Options options;
    RandomSource random;
    std::uint64_t rosterVersion = 0;
    std::map<std::string, Lease> leases;
};

} // namespace Hyssophall
