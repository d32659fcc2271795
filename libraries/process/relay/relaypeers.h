#pragma once

#include "process/relay/relayhub.h"
#include "process/relay/relaylink.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Hyssophall {

/// Keeps a stream of updates open to each other relay, with one thread for each. Reconnects when a stream ends.
class RelayPeers
{
public:
    RelayPeers(RelayHub &hub, std::string fleetSecret, RelayExchange::Timing timing);

    /// Ends all streams.
    ~RelayPeers();
    RelayPeers(const RelayPeers &) = delete;
    RelayPeers &operator=(const RelayPeers &) = delete;

    void add(const std::shared_ptr<RelayPeer> &peer);

private:
    struct Connection {
        std::shared_ptr<RelayPeer> peer;
        std::unique_ptr<RelayLink> link;
        std::thread thread;
    };

    void keepConnected(Connection &connection);

    RelayHub &hub;
    const std::string fleetSecret;
    const RelayExchange::Timing timing;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    std::vector<std::unique_ptr<Connection>> connections;
};

} // namespace Hyssophall
