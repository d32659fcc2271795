#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Hyssophall {

/// True when a new TCP connection to the IP number and port stands within the limit. Nothing is sent on it.
bool canConnect(const std::string &host, std::uint16_t port, std::chrono::milliseconds limit);

} // namespace Hyssophall
