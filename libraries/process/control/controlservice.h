#pragma once

#include "process/control/raftreplica.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace grpc {
class Service;
} // namespace grpc

namespace Hyssophall {

/// Handlers of the control service's calls. Must be thread-safe.
struct ControlHandlers {
    /// Returns nothing after a storage failure of the replica.
    std::function<std::optional<RaftReplica::Reply>(const RaftReplica::Request &)> handleRequest;
    /// Decides a proposal on this replica. May block until the deadline.
    std::function<ControlMessages::ProposeReply(const ControlMessages::ProposeRequest &, SteadyTime)> propose;
    std::function<ControlMessages::StatusReply()> status;
};

/// The gRPC service of a control VM. Must outlive the server that it is registered on.
class ControlService
{
public:
    /// Calls without @p fleetSecret fail with UNAUTHENTICATED.
    ControlService(ControlHandlers handlers, std::string fleetSecret);
    ~ControlService();

    /// For grpc::ServerBuilder::RegisterService().
    grpc::Service &service();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
