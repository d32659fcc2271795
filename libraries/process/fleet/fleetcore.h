#pragma once

#include "process/fleet/cataloguefetcher.h"
#include "process/fleet/gossip.h"
#include "process/fleet/registrar.h"

#include <functional>
#include <string>
#include <vector>

namespace Hyssophall {

/// Membership, records, registrar and catalogue distribution of one VM, without threads. Thread-safe.
class FleetCore
{
public:
    /// Runs work that mustn't hold up a thread of the transport.
    using Executor = std::function<void(std::function<void()>)>;

    struct Options {
        Membership::Self self;
        /// Fleet addresses to join through.
        std::vector<std::string> peers;
    };

    struct Hooks {
        SteadyClock clock;
        RandomSource random;
        Executor runGossip;
        /// Taking a whole catalogue may last hundreds of milliseconds.
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

    /// Takes an announcement that came to this VM; the answer may come on another thread.
    void announce(const FleetMessages::AnnounceRequest &request, Registrar::Answer answer);

    /// Takes a record of this VM and passes it on to all others. Returns false when a newer one is known.
    bool publish(const FleetMessages::Record &record);

    /// Records that are still passed on.
    std::size_t pendingRecords() const;

private:
    Gossip::Hooks gossipHooks();
    Registrar::Hooks registrarHooks();
    CatalogueFetcher::Send fetchSender();
    void adoptRoster();
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
