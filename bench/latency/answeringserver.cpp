#include "answeringserver.h"

#include "plainsocket.h"
#include "process/proxy/listensocket.h"

#include <sys/socket.h>
#include <unistd.h>

namespace HyssophallBench {

namespace {

void serve(int descriptor)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n" + std::string(64, 'a');
    PlainSocket socket(descriptor);
    std::string request;
    while (socket.readMessage(request) && socket.write(answer)) { }
}

} // namespace

AnsweringServer::AnsweringServer()
{
    const Hyssophall::ListenSocket socket = Hyssophall::openListenSocket({"127.0.0.1", 0});
    this->listening = socket.descriptor;
    this->boundPort = socket.port;
    this->acceptor = std::thread([this] { this->accept(); });
}

AnsweringServer::~AnsweringServer()
{
    shutdown(this->listening, SHUT_RDWR);
    this->acceptor.join();
    for (int descriptor : this->descriptors) {
        shutdown(descriptor, SHUT_RDWR);
        close(descriptor);
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    close(this->listening);
}

std::uint16_t AnsweringServer::port() const
{
    return this->boundPort;
}

void AnsweringServer::accept()
{
    for (;;) {
        const int descriptor = ::accept(this->listening, nullptr, nullptr);
        if (descriptor < 0) {
            return;
        }
        // The duplicate stays valid for the shutdown after the thread closed its own.
        this->descriptors.push_back(dup(descriptor));
        this->threads.emplace_back([descriptor] { serve(descriptor); });
    }
}

} // namespace HyssophallBench
