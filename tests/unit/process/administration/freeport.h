#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Hyssophall {

/// Returns a TCP port of the loopback interface that was free during the call. Another process may open it afterwards.
inline unsigned short freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bind(descriptor, reinterpret_cast<sockaddr *>(&address), length);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    close(descriptor);
    return ntohs(address.sin_port);
}

} // namespace Hyssophall
