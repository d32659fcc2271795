#pragma once

#include "process/control/controlclient.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

/// The clients of the control VMs, by fleet address. Thread-safe.
class ControlClients
{
public:
    explicit ControlClients(std::string fleetSecret);

    std::shared_ptr<ControlClient> at(const std::string &address);

private:
    const std::string fleetSecret;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<ControlClient>> clients;
};

} // namespace Hyssophall
