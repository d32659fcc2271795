#pragma once

#include "process/settings/settings.h"
#include "request/callermessage.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace Hyssophall {

/// The caller port can't be opened. Source: CallerEndpoint::create().
struct EndpointFailure {
    Endpoint endpoint;
    /// The errno value, or zero when the web server didn't start.
    int error = 0;
};

/// The HTTP server for callers: a thread for each connection, by ulfius.
class CallerEndpoint
{
public:
    /// Answers one request; called from many threads.
    using Handler = std::function<CallerAnswer(const CallerRequest &)>;

    struct Options {
        Endpoint endpoint;
        std::size_t maximumConnections = 1000;
        std::size_t maximumRequestBytes = 1024 * 1024;
        /// Longer than the longest request, as a connection is also quiet while its request runs.
        std::chrono::seconds connectionTimeout{90};
    };

    /// Starts to serve; port 0 takes a free one. Errors: EndpointFailure.
    static boost::leaf::result<std::unique_ptr<CallerEndpoint>> create(const Options &options, Handler handler);

    /// Stops at once; requests in flight are cut off unless waitUntilIdle() returned true.
    ~CallerEndpoint();
    CallerEndpoint(const CallerEndpoint &) = delete;
    CallerEndpoint &operator=(const CallerEndpoint &) = delete;

    unsigned short port() const;

    /// Requests between their first line and the last byte of their answer.
    std::size_t requestsInFlight() const;

    /// Closes connections after their next answer, so that callers go to other VMs.
    void beginDrain();

    /// Takes no further connections.
    void stopAccepting();

    /// Waits until no request is in flight. False when the limit passed first.
    bool waitUntilIdle(std::chrono::milliseconds limit);

private:
    class Server;

    explicit CallerEndpoint(std::unique_ptr<Server> server);

    std::unique_ptr<Server> server;
};

} // namespace Hyssophall
