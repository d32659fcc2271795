#pragma once

#include <cstdint>
#include <string>

namespace HyssophallTest {

/// A caller with one kept connection on loopback that writes raw text.
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port, const std::string &host = "127.0.0.1");
    ~RawCaller();

    void write(const std::string &text);
    /// Reads one answer by its Content-Length; only the head with @p headOnly. Empty when the connection closed first.
    std::string readAnswer(bool headOnly = false);
    /// True when the peer closes without a further byte.
    bool isClosedByPeer();
    std::string exchange(const std::string &text, bool headOnly = false);

private:
    int descriptor = -1;
    std::string received;
};

} // namespace HyssophallTest
