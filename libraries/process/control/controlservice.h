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

/// What a control VM does for the calls of others. Thread-safe.
struct ControlHandlers {
    /// Nothing when the replica can't answer.
    std::function<std::optional<RaftReplica::Reply>(const RaftReplica::Request &)> answer;
    /// May block until the deadline.
    std::function<ControlMessages::ProposeReply(const ControlMessages::ProposeRequest &, SteadyTime)> propose;
    std::function<ControlMessages::StatusReply()> status;
};

/// The gRPC service of a control VM. It must outlive the server that it is registered on.
class ControlService
{
public:
    /// Calls without @p fleetSecret are refused.
    ControlService(ControlHandlers handlers, std::string fleetSecret);
    ~ControlService();

    /// For grpc::ServerBuilder::RegisterService().
    grpc::Service &service();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
