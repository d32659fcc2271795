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

/// Error of FleetServer::create(): the fleet port can't be opened.
struct FleetPortUnavailable {
    std::string address;
};

/// gRPC server on the fleet port of this VM. Calls without the fleet's credential fail with UNAUTHENTICATED.
class FleetServer
{
public:
    struct Options {
        /// host:port. Port 0 lets the operating system choose a port.
        std::string address;
        std::string secret;
        /// Further services on the same port. Each must check the FleetCredential itself, and must outlive the server.
        std::vector<grpc::Service *> otherServices;
        /// Counts the messages of the fleet service if it isn't null. Messages of other services aren't counted.
        std::shared_ptr<FleetTraffic> traffic = nullptr;
    };

    /// Starts the server. Calls whose hook isn't set fail with UNIMPLEMENTED. Errors: FleetPortUnavailable.
    static boost::leaf::result<std::unique_ptr<FleetServer>> create(const Options &options, FleetHandlers handlers);

    /// Calls stop().
    ~FleetServer();

    FleetServer(const FleetServer &) = delete;
    FleetServer &operator=(const FleetServer &) = delete;

    /// The port that the server listens on.
    int port() const;

    /// Refuses new calls, gives running ones one second to end, then cancels them. No handler runs after this returns.
    void stop();

private:
    class Implementation;

    explicit FleetServer(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
