#pragma once

#include "connection/upstreamsender.h"
#include "forwarding.pb.h"
#include "process/fleet/fleetcredential.h"
#include "request/callermessage.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace Hyssophall {

namespace ForwardingMessages = hyssophall::forwarding::v1;

/// Sends requests to instances for VMs that are partitioned from them. Thread-safe.
class ForwardingService
{
public:
    /// Where requests are posted, and the header with the fleet's secret.
    static constexpr const char *target = "/forward";
    static constexpr const char *credentialHeader = "Hyssophall-Fleet";

    struct Hooks {
        /// Whether this VM may send requests to the instance now: it isn't partitioned itself, and the instance is registered and takes requests of this
        /// VM.
        std::function<bool(const std::string &instance)> maySend;
        /// Called with the host when a new connection was established, with the time at which it was.
        std::function<void(const std::string &host, SteadyTime at)> connectionOpened;
        /// Called for each complete response.
        std::function<void(const std::string &instance, const HttpResponse &response)> responded;
        /// Called when no connection to the instance could be established.
        std::function<void(const std::string &instance, std::chrono::microseconds latency)> connectFailed;
    };

    /// @p direct sends the requests and must outlive the service.
    ForwardingService(const std::string &fleetSecret, UpstreamSender &direct, Hooks hooks);

    /// Handles one HTTP request on the fleet port. Responds 200 with a ForwardedResult; 401 without the fleet's secret, and 404 or 400 to anything that
    /// isn't a ForwardedRequest.
    CallerResponse handle(const CallerRequest &request);

    /// Whether the status is one with which handle() responds to a request that it didn't process.
    static bool isRefusedUnread(int status);

    /// From now on accepts no requests.
    void stopAccepting();

    /// Waits until no accepted request is in flight, or for @p limit. Returns whether none is.
    bool waitUntilIdle(std::chrono::milliseconds limit);

    /// Number of requests accepted since the start.
    std::uint64_t acceptedCount() const;

private:
    ForwardingMessages::ForwardedResult send(const ForwardingMessages::ForwardedRequest &request, const std::function<bool()> &isCancelled);
    bool begin();
    void end();
    void report(const ForwardingMessages::ForwardedRequest &request, const UpstreamResult &result) const;

    const FleetCredential credential;
    UpstreamSender &direct;
    const Hooks hooks;
    mutable std::mutex mutex;
    std::condition_variable idle;
    std::size_t inFlight = 0;
    std::uint64_t accepted = 0;
    bool accepting = true;
};

} // namespace Hyssophall
