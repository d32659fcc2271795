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
 * One VM's side of its leases: whom to ask, when to renew, and what it holds.
 *
 * Pure and not thread-safe. A first request asks with epoch 0 and each voter grants an epoch above all that it granted. The holder takes the greatest
 * of a quorum and acts only after a quorum has granted exactly that epoch, so that the next holder's quorum knows it.
 */
class LeaseHolder
{
public:
    struct Options {
        std::string self;
        std::uint64_t incarnation = 0;
        std::chrono::milliseconds duration{2000};
        /// Time for one attempt to get a quorum.
        std::chrono::milliseconds attemptLimit{250};
    };

    /// A batch of requests for one voter.
    struct Outgoing {
        CatalogueMessages::Member voter;
        FleetMessages::GrantLeasesRequest request;
        SteadyTime sent;
    };

    LeaseHolder(Options options, RandomSource random);

    /// The names that this VM should hold from now on; leases on others are given back by the next tick().
    void setWanted(const std::vector<std::string> &names);

    /// The requests that are due, one batch for each voter. @p now must have been read before they are sent.
    std::vector<Outgoing> tick(SteadyTime now, const Roster &roster);

    /// Takes the answer to a batch.
    void takeReply(const Outgoing &asked, const FleetMessages::GrantLeasesReply &reply, SteadyTime now);

    /// The epoch of the lease on a name, or nothing while it isn't held.
    std::optional<std::uint64_t> heldEpoch(const std::string &name, SteadyTime now) const;

    /// The names whose leases are held.
    std::vector<std::string> heldNames(SteadyTime now) const;

    /// Time that the holder counts on: 90% of the duration, so that clocks whose rates differ by 5% in either direction agree that it is over.
    std::chrono::nanoseconds usableDuration() const;

private:
    enum class Phase {
        Idle,
        Asking,
        Confirming,
        Held,
    };
    struct Vote {
        std::uint64_t epoch = 0;
        SteadyTime sent;
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
        /// Voters that refused the present attempt.
        std::set<std::string> refusals;
        /// So many voters refused that the present attempt can't reach a quorum.
        bool isHopeless = false;
    };
    using Batches = std::map<std::string, Outgoing>;

    bool isRenewalDue(SteadyTime now) const;
    void advance(const std::string &name, Lease &lease, SteadyTime now, Batches &batches);
    void ask(const std::string &name, Lease &lease, SteadyTime now, Batches &batches);
    void giveUp(const std::string &name, Lease &lease, SteadyTime now, Batches &batches);
    void addRequest(const CatalogueMessages::Member &voter, const std::string &name, std::uint64_t epoch, bool release, SteadyTime now, Batches &batches);
    /// Notes a refusal and ends an attempt that can't reach a quorum any more.
    void takeRefusal(Lease &lease, const Outgoing &asked);
    void countVotes(Lease &lease, SteadyTime now);
    std::chrono::nanoseconds randomDelay(std::chrono::nanoseconds longest);

    Options options;
    RandomSource random;
    std::uint64_t rosterVersion = 0;
    std::map<std::string, Lease> leases;
};

} // namespace Hyssophall
