#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace HyssophallTest {

/// One accepted connection of a RawUpstream.
class RawConnection
{
public:
    RawConnection(int descriptor, std::size_t number);

    /// Reads one request with a body by Content-Length. Empty when the peer closed.
    std::string readRequest();
    void write(const std::string &text);
    /// False once the peer has closed.
    bool tryWrite(const std::string &text);
    /// Ends the connection by RST.
    void reset();

    /// Counts the connections of the upstream from 0.
    const std::size_t number;

private:
    friend class RawUpstream;
    const int descriptor;
    std::string received;
};

/// An HTTP upstream on loopback whose behaviour is a function that reads and writes raw text, so that it can misbehave.
class RawUpstream
{
public:
    using Behaviour = std::function<void(RawConnection &, const std::string &request)>;

    /// Runs @p behaviour for each request; the connection closes when it throws Close.
    struct Close {
    };
    explicit RawUpstream(Behaviour behaviour);
    ~RawUpstream();

    std::uint16_t port() const;
    /// All requests that arrived whole, in the order of their arrival.
    std::vector<std::string> requests() const;
    std::size_t connections() const;

    /// A whole answer.
    static std::string answer(const std::string &body, const std::string &headers = "");

private:
    void accept();
    void serve(int descriptor, std::size_t number);

    const Behaviour behaviour;
    int listening = -1;
    std::uint16_t boundPort = 0;
    mutable std::mutex mutex;
    std::vector<std::string> received;
    std::list<std::thread> threads;
    std::list<int> open;
    std::size_t accepted = 0;
    bool stopping = false;
    std::thread acceptor;
};

} // namespace HyssophallTest
