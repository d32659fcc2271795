#pragma once

#include "process/boundedring.h"
#include "process/fleet/fleetcore.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace Hyssophall {

/// Runs a FleetCore on three threads: one for gossip, one for the registrar and one that installs fetched catalogues.
class FleetNode
{
public:
    struct Options {
        FleetCore::Options core;
        std::chrono::milliseconds gossipInterval = Gossip::interval;
    };

    /// @p transport and the objects that @p catalogue's hooks access must outlive this object.
    FleetNode(const Options &options, FleetTransport &transport, const CatalogueSource &catalogue);

    /// Calls stop(). The server and the client must be stopped before, since their threads call this object.
    ~FleetNode();

    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    /// Sets the hooks exchange, fetchCatalogue and announce. Called before the server starts.
    void installHandlers(FleetHandlers &handlers);

    MemberView &members();
    RecordStore &records();

    /// Handles an announcement that this VM received. Returns whether it was accepted. Blocks until @p deadline at the latest,
    /// and then returns false.
    bool announce(const FleetMessages::AnnounceRequest &request, SteadyTime deadline);

    /// Stores a record created on this VM (an ejection or a poison request) and sends it to all others. Returns false if a newer
    /// record is stored already.
    bool publish(const FleetMessages::Record &record);

    void start();

    /// Starts a gossip round at once, for updates that shouldn't wait for the next round. Requests within 25 ms of the last round
    /// that was requested are ignored. Each VM calls this itself when it stores a new poison request, ejection or leaving instance.
    void requestGossipRound();

    /// Reports to other members that this VM is leaving, and gives them time to spread it. Blocks for two gossip intervals.
    void leave();

    /// Ends the threads. Messages from other VMs are still handled until the server stops.
    void stop();

private:
    /// Shortest time between requested rounds. With two exchanges per round it limits the cost of gossip to ten times that of
    /// the regular rounds, even if urgent updates keep arriving.
    static constexpr std::chrono::milliseconds minimumRoundInterval{25};

    using Task = std::function<void()>;
    using Ring = BoundedRing<Task>;

    static void runTasks(Ring &ring, SteadyTime until);
    void addUrgentListeners();
    void runGossip();
    void runRegistrar();
    void runCatalogue();

    const std::chrono::milliseconds gossipInterval;
    std::atomic<bool> stopping{false};
    std::atomic<SteadyTime> lastRequestedRound{SteadyTime()};
    /// Replies to exchanges and requested rounds, from other threads to the gossip thread.
    Ring gossipTasks;
    /// Ticks of the registrar, queued by the gossip thread so that no lease expires while gossip is stopped.
    Ring registrarTicks;
    /// Fetched catalogues to install, from the transport's threads to the catalogue thread.
    Ring catalogueTasks;
    FleetCore core;
    std::thread gossipThread;
    std::thread registrarThread;
    std::thread catalogueThread;
};

} // namespace Hyssophall
