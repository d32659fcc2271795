#pragma once

#include "process/fleet/cataloguefetcher.h"
#include "process/fleet/gossip.h"
#include "process/fleet/registrar.h"

#include <functional>
#include <string>
#include <vector>

namespace Hyssophall {

/// Connects the membership, records, registrar and catalogue distribution of one VM. Has no threads of its own: the owner
/// (FleetNode) calls the ticks. Thread-safe.
class FleetCore
{
public:
    /// Runs work on another thread, so that it doesn't block a thread of the transport.
    using Executor = std::function<void(std::function<void()>)>;

    struct Options {
        Membership::Self self;
        /// Fleet addresses that this VM contacts to join the fleet.
        std::vector<std::string> peers;
    };

    struct Hooks {
        SteadyClock clock;
        RandomSource random;
        Executor runGossip;
        /// Runs the installation of fetched catalogues, which may take hundreds of milliseconds.
        Executor runCatalogue;
    };

    /// @p transport must outlive this object.
    FleetCore(const Options &options, FleetTransport &transport, const CatalogueSource &catalogue, const Hooks &hooks);

    MemberView &members();
    RecordStore &records();

    /// Sets the hooks exchange, fetchCatalogue and announce.
    void installHandlers(FleetHandlers &handlers);

    void gossipTick();
    void registrarTick();
    void leave();

    /// Handles an announcement that this VM received. @p onReply may be called on another thread.
    void announce(const FleetMessages::AnnounceRequest &request, Registrar::ReplyHandler onReply);

    /// Stores a record created on this VM and sends it to all others. Returns false if a newer record is stored already.
    bool publish(const FleetMessages::Record &record);

    /// Number of records that are still queued for other members.
    std::size_t pendingRecords() const;

private:
    Gossip::Hooks gossipHooks();
    Registrar::Hooks registrarHooks();
    CatalogueFetcher::Send fetchSender();
    void applyRoster();
    FleetMessages::AnnounceReply receiveAnnouncement(const FleetMessages::AnnounceRequest &request);

    FleetTransport &transport;
    const CatalogueSource catalogue;
    const Hooks hooks;
    Membership membership;
    RecordStore recordStore;
    CatalogueFetcher fetcher;
    Gossip gossip;
    Registrar registrar;
};

} // namespace Hyssophall
