#include "plainsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace HyssophallBench {

PlainSocket::PlainSocket(int descriptor)
    : descriptor(descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

PlainSocket::~PlainSocket()
{
    close(this->descriptor);
}

int PlainSocket::connectTo(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor >= 0 && connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

bool PlainSocket::write(const std::string &text) const
{
    return send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

bool PlainSocket::readMessage(std::string &message)
{
    for (;;) {
        const std::size_t headEnd = this->received.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            const std::size_t length = this->received.find("Content-Length: ");
            const std::size_t needed = headEnd + 4 + (length < headEnd ? std::stoul(this->received.substr(length + 16, 20)) : 0);
            if (this->received.size() >= needed) {
                message = this->received.substr(0, needed);
                this->received.erase(0, needed);
                return true;
            }
        }
        std::array<char, 4096> bytes{};
        const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            return false;
        }
        this->received.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

} // namespace HyssophallBench
