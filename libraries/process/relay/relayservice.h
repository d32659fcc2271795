#pragma once

#include "process/relay/relayexchange.h"
#include "process/relay/relayhub.h"

#include <cstdint>
#include <memory>
#include <string>

namespace grpc {
class Service;
}

namespace Hyssophall {

/// Accepts streams of updates from VMs and other relays on the fleet port. Rejects streams without the fleet's credential as UNAUTHENTICATED, and
/// streams that don't start with a greeting as INVALID_ARGUMENT. Streams of VMs beyond StreamAdmission are refused with
/// Update.retry_after_milliseconds.
class RelayService
{
public:
    /// The hub must outlive the service.
    RelayService(RelayHub &hub, const std::string &fleetSecret, RelayExchange::Timing timing);
    ~RelayService();

    /// For grpc::ServerBuilder::RegisterService().
    grpc::Service &service();

    /// Number of streams that were refused since the start because too many came at once.
    std::uint64_t refusedCount() const;

private:
    class Implementation;

    const std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
