#pragma once

#include "process/relay/relayexchange.h"
#include "process/relay/relayhub.h"

#include <memory>
#include <string>

namespace grpc {
class Service;
}

namespace Hyssophall {

/// The accepting end of streams of news, on the fleet port. Refuses streams without the fleet's credential.
class RelayService
{
public:
    /// The hub outlives the service.
    RelayService(RelayHub &hub, const std::string &fleetSecret, RelayExchange::Timing timing);
    ~RelayService();

    /// For grpc::ServerBuilder::RegisterService().
    grpc::Service &service();

private:
    class Implementation;

    const std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
