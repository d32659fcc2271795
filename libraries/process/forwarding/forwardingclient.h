#pragma once

#include "connection/upstreamclient.h"

#include <chrono>
#include <string>

namespace Hyssophall {

/// Sends tries to instances through other VMs. Thread-safe.
class ForwardingClient
{
public:
    struct Options {
        /// Name of this VM, for the log of the other one.
        std::string vm;
        std::string fleetSecret;
        /// Largest body of an instance's response.
        std::size_t maximumAnswerBytes = 8 * 1024 * 1024;
        /// Time limit for a connection to another VM: a hundred round trips between failure domains.
        std::chrono::milliseconds connectTimeout{250};
    };

    enum class Acceptance {
        /// The other VM may have tried to send the request, or this VM must not send it any more.
        Accepted,
        /// The other VM didn't get the request or didn't accept it, so it wasn't sent to the instance.
        NotAccepted,
    };

    struct Result {
        Acceptance acceptance = Acceptance::NotAccepted;
        /// Set if the request was accepted.
        UpstreamResult upstream;
    };

    explicit ForwardingClient(const Options &options);

    /// Sends the request through the VM at @p host and @p port at most once, and blocks until its result arrives or the try's deadline passes.
    Result send(const std::string &host, std::uint16_t port, const UpstreamCall &call);

private:
    const std::string vm;
    const std::string fleetSecret;
    UpstreamClient client;
};

} // namespace Hyssophall
