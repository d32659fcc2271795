#pragma once

#include "process/control/controlclient.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

/// One ControlClient per fleet address, shared by all callers. Thread-safe.
class ControlClients
{
public:
    explicit ControlClients(std::string fleetSecret);

    /// The client for the VM with this fleet address (host:port), created at the first call.
    std::shared_ptr<ControlClient> at(const std::string &address);

private:
    const std::string fleetSecret;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<ControlClient>> clients;
};

} // namespace Hyssophall
