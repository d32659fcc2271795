#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Hyssophall {

/// True if a TCP connection to the numeric IPv4 or IPv6 address and port can be established within @p limit. Nothing is sent on it.
bool canConnect(const std::string &host, std::uint16_t port, std::chrono::milliseconds limit);

} // namespace Hyssophall
