#include "connection/connectprobe.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Hyssophall {

namespace {

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t length = 0;
};

SocketAddress socketAddress(const std::string &host, std::uint16_t port)
{
    SocketAddress address;
    sockaddr_in *ipv4 = reinterpret_cast<sockaddr_in *>(&address.storage);
    sockaddr_in6 *ipv6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    if (inet_pton(AF_INET, host.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(port);
        address.length = sizeof(sockaddr_in);
    } else if (inet_pton(AF_INET6, host.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(port);
        address.length = sizeof(sockaddr_in6);
    }
    return address;
}

bool finishesConnecting(int descriptor, const SocketAddress &address, std::chrono::milliseconds limit)
{
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address.storage), address.length) == 0) {
        return true;
    }
    pollfd state{descriptor, POLLOUT, 0};
    if (poll(&state, 1, static_cast<int>(limit.count())) != 1) {
        return false;
    }
    int error = 0;
    socklen_t length = sizeof(error);
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
}

} // namespace

bool canConnect(const std::string &host, std::uint16_t port, std::chrono::milliseconds limit)
{
    const SocketAddress address = socketAddress(host, port);
    if (address.length == 0) {
        return false;
    }
    const int descriptor = socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    const bool connected = finishesConnecting(descriptor, address, limit);
    close(descriptor);
    return connected;
}

} // namespace Hyssophall
