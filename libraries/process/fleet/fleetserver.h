#pragma once

#include "process/fleet/fleettraffic.h"
#include "process/fleet/fleettransport.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>
#include <vector>

namespace grpc {
class Service;
}

namespace Hyssophall {

/// The fleet port can't be opened. Source: FleetServer::create().
struct FleetPortUnavailable {
    std::string address;
};

/// Serves the fleet port of this VM. Calls without the fleet's credential are refused as unauthenticated.
class FleetServer
{
public:
    struct Options {
        /// host:port; port 0 lets the system choose.
        std::string address;
        std::string secret;
        /// Served on the same port; each must check FleetCredential itself and live as long as the server.
        std::vector<grpc::Service *> otherServices;
        /// Counts the messages of the fleet's calls when set; those of other services are not counted.
        std::shared_ptr<FleetTraffic> traffic = nullptr;
    };

    /// Starts to serve. A hook that is not set answers "unimplemented". Errors: FleetPortUnavailable.
    static boost::leaf::result<std::unique_ptr<FleetServer>> create(const Options &options, FleetHandlers handlers);

    /// Stops as stop() does.
    ~FleetServer();

    FleetServer(const FleetServer &) = delete;
    FleetServer &operator=(const FleetServer &) = delete;

    /// The port in use.
    int port() const;

    /// Refuses new calls, lets running ones end for one second, then cancels them. No handler runs afterwards.
    void stop();

private:
    class Implementation;

    explicit FleetServer(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
