#include "process/proxy/listensocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Hyssophall {

namespace {

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t length = 0;
};

SocketAddress socketAddress(const Endpoint &endpoint)
{
    SocketAddress address;
    sockaddr_in *ipv4 = reinterpret_cast<sockaddr_in *>(&address.storage);
    sockaddr_in6 *ipv6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    if (inet_pton(AF_INET, endpoint.host.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in);
    } else if (inet_pton(AF_INET6, endpoint.host.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in6);
    }
    return address;
}

bool startListening(int descriptor, SocketAddress &address)
{
    const int enabled = 1;
    sockaddr *generic = reinterpret_cast<sockaddr *>(&address.storage);
    return setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) == 0 && bind(descriptor, generic, address.length) == 0
        && listen(descriptor, SOMAXCONN) == 0 && getsockname(descriptor, generic, &address.length) == 0;
}

} // namespace

ListenSocket openListenSocket(const Endpoint &endpoint)
{
    ListenSocket result;
    SocketAddress address = socketAddress(endpoint);
    if (address.length == 0) {
        result.error = EINVAL;
        return result;
    }
    result.descriptor = socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (result.descriptor < 0 || !startListening(result.descriptor, address)) {
        result.error = errno;
        if (result.descriptor >= 0) {
            close(result.descriptor);
        }
        result.descriptor = -1;
        return result;
    }
    // The port has the same offset in sockaddr_in and sockaddr_in6.
    result.port = ntohs(reinterpret_cast<sockaddr_in *>(&address.storage)->sin_port);
    return result;
}

} // namespace Hyssophall
