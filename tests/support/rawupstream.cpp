#include "support/rawupstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace HyssophallTest {

RawConnection::RawConnection(int descriptor, std::size_t number)
    : number(number)
    , descriptor(descriptor)
{
}

std::string RawConnection::readRequest()
{
    std::size_t needed = std::string::npos;
    while (needed == std::string::npos || this->received.size() < needed) {
        const std::size_t headEnd = this->received.find("\r\n\r\n");
        if (headEnd != std::string::npos && needed == std::string::npos) {
            const std::size_t length = this->received.find("Content-Length: ");
            needed = headEnd + 4 + (length < headEnd ? std::stoul(this->received.substr(length + 16)) : 0);
            continue;
        }
        char bytes[4096];
        const ssize_t count = recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return "";
        }
        this->received.append(bytes, static_cast<std::size_t>(count));
    }
    const std::string request = this->received.substr(0, needed);
    this->received.erase(0, needed);
    return request;
}

void RawConnection::write(const std::string &text)
{
    static_cast<void>(send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL));
}

bool RawConnection::tryWrite(const std::string &text)
{
    return send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL) > 0;
}

void RawConnection::reset()
{
    const linger hard{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    throw RawUpstream::Close();
}

RawUpstream::RawUpstream(Behaviour behaviour)
    : behaviour(std::move(behaviour))
{
    this->listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (bind(this->listening, reinterpret_cast<sockaddr *>(&address), length) != 0 || listen(this->listening, 128) != 0
        || getsockname(this->listening, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        throw std::runtime_error("The raw upstream can't listen");
    }
    this->boundPort = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->accept(); });
}

RawUpstream::~RawUpstream()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        for (int descriptor : this->open) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
    shutdown(this->listening, SHUT_RDWR);
    this->acceptor.join();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    close(this->listening);
}

std::uint16_t RawUpstream::port() const
{
    return this->boundPort;
}

std::vector<std::string> RawUpstream::requests() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->received;
}

std::size_t RawUpstream::connections() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->accepted;
}

std::string RawUpstream::answer(const std::string &body, const std::string &headers)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

void RawUpstream::accept()
{
    for (;;) {
        const int descriptor = ::accept(this->listening, nullptr, nullptr);
        if (descriptor < 0) {
            return;
        }
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopping) {
            close(descriptor);
            return;
        }
        this->open.push_back(descriptor);
        const std::size_t number = this->accepted++;
        this->threads.emplace_back([this, descriptor, number] { this->serve(descriptor, number); });
    }
}

void RawUpstream::serve(int descriptor, std::size_t number)
{
    RawConnection connection(descriptor, number);
    try {
        for (std::string request = connection.readRequest(); !request.empty(); request = connection.readRequest()) {
            {
                std::lock_guard<std::mutex> lock(this->mutex);
                this->received.push_back(request);
            }
            this->behaviour(connection, request);
        }
    } catch (const Close &) {
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    this->open.remove(descriptor);
    close(descriptor);
}

} // namespace HyssophallTest
