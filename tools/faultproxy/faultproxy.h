#pragma once

#include "linkfaults.h"

#include <boost/leaf/result.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Hyssophall {

/// The listening port can't be opened. Source: FaultProxy::create().
struct ProxyPortUnavailable {
    std::uint16_t port;
};

/// Forwards TCP connections from one port to a target and brings about faults on the way.
class FaultProxy
{
public:
    struct Options {
        std::string listenHost = "127.0.0.1";
        std::uint16_t listenPort = 0;
        std::string targetHost = "127.0.0.1";
        std::uint16_t targetPort = 0;
    };

    /// Opens the port and begins to forward. Errors: ProxyPortUnavailable.
    static boost::leaf::result<std::unique_ptr<FaultProxy>> create(const Options &options);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Replaces the faults in force.
    void setFaults(const LinkFaults &faults);

    std::uint64_t connectionCount() const;

private:
    /// State that one forwarded connection shares with the proxy.
    struct Link {
        std::atomic<bool> frozen{false};
        std::atomic<bool> reset{false};
        std::atomic<bool> ended{false};
        std::thread thread;
    };

    FaultProxy(const Options &options, int listener);

    void acceptUntilStopped();
    void forward(Link &link, int nearSocket);
    /// Moves bytes from one socket to the other. Returns false when the connection is over.
    bool moveBytes(int from, int to, std::uint64_t limit, std::uint64_t &moved, const LinkFaults &inForce);
    LinkFaults faults() const;
    void removeEndedLinks();

    const Options options;
    const int listener;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> accepted{0};
    mutable std::mutex mutex;
    LinkFaults inForce;
    std::vector<std::unique_ptr<Link>> links;
    std::thread acceptThread;
};

} // namespace Hyssophall
