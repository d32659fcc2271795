#pragma once

#include <cstdint>
#include <list>
#include <thread>
#include <vector>

namespace HyssophallBench {

/// An upstream on loopback that answers each request at once.
class AnsweringServer
{
public:
    AnsweringServer();
    ~AnsweringServer();
    AnsweringServer(const AnsweringServer &) = delete;
    AnsweringServer &operator=(const AnsweringServer &) = delete;

    std::uint16_t port() const;

private:
    void accept();

    int listening = -1;
    std::uint16_t boundPort = 0;
    std::vector<int> descriptors;
    std::list<std::thread> threads;
    std::thread acceptor;
};

} // namespace HyssophallBench
