#pragma once

#include "process/relay/relayexchange.h"
#include "process/relay/relayhub.h"

#include <memory>
#include <string>

namespace grpc {
class Service;
}

namespace Hyssophall {

/// Accepts streams of updates from VMs and other relays on the fleet port. Rejects streams without the fleet's credential as UNAUTHENTICATED, and
/// streams that don't start with a greeting as INVALID_ARGUMENT.
class RelayService
{
public:
    /// The hub must outlive the service.
    RelayService(RelayHub &hub, const std::string &fleetSecret, RelayExchange::Timing timing);
    ~RelayService();

    /// For grpc::ServerBuilder::RegisterService().
    grpc::Service &service();

private:
    class Implementation;

    const std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
