#include "support/rawcaller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace HyssophallTest {

RawCaller::RawCaller(std::uint16_t port, const std::string &host)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    address.sin_port = htons(port);
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("The raw caller can't connect");
    }
}

RawCaller::~RawCaller()
{
    close(this->descriptor);
}

void RawCaller::write(const std::string &text)
{
    static_cast<void>(send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL));
}

std::string RawCaller::readAnswer(bool headOnly)
{
    std::size_t needed = std::string::npos;
    while (needed == std::string::npos || this->received.size() < needed) {
        const std::size_t headEnd = this->received.find("\r\n\r\n");
        if (headEnd != std::string::npos && needed == std::string::npos) {
            const std::size_t length = this->received.find("Content-Length: ");
            needed = headEnd + 4 + (!headOnly && length < headEnd ? std::stoul(this->received.substr(length + 16)) : 0);
            continue;
        }
        char bytes[4096];
        const ssize_t count = recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return "";
        }
        this->received.append(bytes, static_cast<std::size_t>(count));
    }
    const std::string answer = this->received.substr(0, needed);
    this->received.erase(0, needed);
    return answer;
}

bool RawCaller::isClosedByPeer()
{
    char byte = 0;
    return this->received.empty() && recv(this->descriptor, &byte, 1, 0) <= 0;
}

std::string RawCaller::exchange(const std::string &text, bool headOnly)
{
    this->write(text);
    return this->readAnswer(headOnly);
}

} // namespace HyssophallTest
