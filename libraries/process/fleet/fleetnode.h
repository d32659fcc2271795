#pragma once

#include "process/boundedring.h"
#include "process/fleet/fleetcore.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace Hyssophall {

/// Runs a FleetCore on threads of its own: one for gossip, one for the registrar, one that takes catalogues.
class FleetNode
{
public:
    struct Options {
        FleetCore::Options core;
        std::chrono::milliseconds gossipInterval = Gossip::interval;
    };

    /// @p transport and what @p catalogue refers to must outlive this object.
    FleetNode(const Options &options, FleetTransport &transport, const CatalogueSource &catalogue);

    /// Stops as stop() does. The server and the client must have been stopped before, since their threads call this object.
    ~FleetNode();

    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    /// Sets the hooks exchange, fetchCatalogue and announce. Called before the server starts.
    void installHandlers(FleetHandlers &handlers);

    MemberView &members();
    RecordStore &records();

    /// Takes an announcement that came to this VM; blocks until the deadline at most. Returns whether it was accepted.
    bool announce(const FleetMessages::AnnounceRequest &request, SteadyTime deadline);

    /// Takes a record of this VM (an ejection, a poison request) and passes it on. Returns false when a newer one is known.
    bool publish(const FleetMessages::Record &record);

    void start();

    /// Starts a round of gossip at once, for news that shouldn't wait. Rounds asked for within 25 ms of each other are one.
    /// New poison requests, ejections and leaving instances do so by themselves on each VM that they reach.
    void hurry();

    /// Says to other members that this VM is leaving, and gives them time to pass it on. Blocks for two rounds of gossip.
    void leave();

    /// Ends the threads. Messages of others are still answered until the server stops.
    void stop();

private:
    /// Two exchanges each 25 ms at most, so that news of a busy fleet can't make gossip cost more than ten times its share.
    static constexpr std::chrono::milliseconds shortestInterval{25};

    using Task = std::function<void()>;
    using Ring = BoundedRing<Task>;

    static void runTasks(Ring &ring, SteadyTime until);
    void addUrgentListeners();
    void runGossip();
    void runRegistrar();
    void runCatalogue();

    const std::chrono::milliseconds gossipInterval;
    std::atomic<bool> stopping{false};
    std::atomic<SteadyTime> lastHurry{SteadyTime()};
    /// Answers to exchanges, from the transport's threads to the gossip thread.
    Ring answers;
    /// Ticks of the registrar, from the gossip thread: without gossip, no lease may run out.
    Ring registrarTicks;
    /// Fetched catalogues, from the transport's threads to the catalogue thread.
    Ring catalogues;
    FleetCore core;
    std::thread gossipThread;
    std::thread registrarThread;
    std::thread catalogueThread;
};

} // namespace Hyssophall
