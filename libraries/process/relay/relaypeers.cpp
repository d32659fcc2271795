#include "process/relay/relaypeers.h"

#include <utility>

namespace Hyssophall {

namespace {

/// Pause between two attempts to connect to a relay. A relay that has restarted must be connected again well within a second.
constexpr std::chrono::milliseconds reconnectDelay{150};

} // namespace

RelayPeers::RelayPeers(RelayHub &hub, std::string fleetSecret, RelayExchange::Timing timing)
    : hub(hub)
    , fleetSecret(std::move(fleetSecret))
    , timing(timing)
{
}

RelayPeers::~RelayPeers()
{
    std::vector<std::unique_ptr<Connection>> ending;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        ending.swap(this->connections);
        this->stopped.notify_all();
    }
    for (const std::unique_ptr<Connection> &connection : ending) {
        connection->link->cancel();
        connection->thread.join();
    }
}

void RelayPeers::add(const std::shared_ptr<RelayPeer> &peer)
{
    std::unique_ptr<Connection> connection = std::make_unique<Connection>();
    connection->peer = peer;
    RelayExchange::Hooks hooks;
    hooks.receive = [this, peer](const RelayMessages::Update &update) { this->hub.receiveFromPeer(*peer, update); };
    hooks.beforeSend = [](RelayMessages::Update &) {};
    hooks.batchDelay = [this] { return this->hub.peerBatchDelay(); };
    RelayLink::Options options;
    options.address = peer->address;
    options.fleetSecret = this->fleetSecret;
    options.timing = this->timing;
    // Most relays are alone in their failure domain.
    options.compresses = true;
    connection->link = std::make_unique<RelayLink>(options, std::move(hooks));
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->stopping) {
        connection->thread = std::thread([this, raw = connection.get()] { this->keepConnected(*raw); });
        this->connections.push_back(std::move(connection));
    }
}

void RelayPeers::keepConnected(Connection &connection)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        connection.link->run(this->hub.peerGreeting(*connection.peer), connection.peer->buffer);
        this->hub.peerDisconnected(*connection.peer);
        lock.lock();
        this->stopped.wait_for(lock, reconnectDelay, [this] { return this->stopping; });
    }
}

} // namespace Hyssophall
