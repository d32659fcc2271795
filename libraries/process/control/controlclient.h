#pragma once

#include "process/control/raftreplica.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Hyssophall {

/// gRPC client of the control service of one VM, over one connection. Thread-safe; each call blocks for its timeout at most.
class ControlClient
{
public:
    /// @p address is the host:port of the VM's fleet port.
    ControlClient(const std::string &address, std::string fleetSecret);
    ~ControlClient();

    /// Sends a request of a replica to its peer. Returns nothing when no reply arrived in time.
    std::optional<RaftReplica::Reply> call(const RaftReplica::Request &request, std::chrono::milliseconds timeout);

    /// Errors: ControlUnavailable; NoQuorum means that the request wasn't sent or the fleet secret was rejected, so the change was not accepted.
    boost::leaf::result<ControlMessages::ProposeReply> propose(const ControlMessages::ProposeRequest &request, std::chrono::milliseconds timeout);

    /// Returns nothing when no reply arrived in time.
    std::optional<ControlMessages::StatusReply> status(std::chrono::milliseconds timeout);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Hyssophall
