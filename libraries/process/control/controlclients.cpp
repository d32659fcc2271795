#include "process/control/controlclients.h"

#include <utility>

namespace Hyssophall {

ControlClients::ControlClients(std::string fleetSecret)
    : fleetSecret(std::move(fleetSecret))
{
}

std::shared_ptr<ControlClient> ControlClients::at(const std::string &address)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::shared_ptr<ControlClient> &client = this->clients[address];
    if (!client) {
        client = std::make_shared<ControlClient>(address, this->fleetSecret);
    }
    return client;
}

} // namespace Hyssophall
