#pragma once

#include <cstdint>
#include <string>

namespace HyssophallBench {

/// A loopback TCP socket that reads HTTP messages with a Content-Length or without a body.
class PlainSocket
{
public:
    explicit PlainSocket(int descriptor);
    ~PlainSocket();
    PlainSocket(const PlainSocket &) = delete;
    PlainSocket &operator=(const PlainSocket &) = delete;

    /// A connected descriptor, or -1.
    static int connectTo(std::uint16_t port);

    bool write(const std::string &text) const;
    /// Reads one message; false when the peer closed.
    bool readMessage(std::string &message);

private:
    const int descriptor;
    std::string received;
};

} // namespace HyssophallBench
