#pragma once

#include "process/settings/settings.h"
#include "request/callermessage.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace Hyssophall {

/// The port for callers can't be opened. Returned by CallerEndpoint::create().
struct EndpointFailure {
    Endpoint endpoint;
    /// The errno value, or zero if the port was opened but the web server didn't start.
    int error = 0;
};

/// HTTP server for callers, based on ulfius (libmicrohttpd), with one thread per connection.
class CallerEndpoint
{
public:
    /// Handles one request and returns its response. Called from many threads at once.
    using Handler = std::function<CallerResponse(const CallerRequest &)>;

    struct Options {
        Endpoint endpoint;
        std::size_t maximumConnections = 1000;
        std::size_t maximumRequestBytes = 1024 * 1024;
        /// A connection is closed after this time without traffic. It must exceed the longest request (maximumRequestTimeout), as there is no traffic
        /// while a request is processed either.
        std::chrono::seconds connectionTimeout{90};
    };

    /// Opens the port and starts the server; port 0 selects a free port. Errors: EndpointFailure.
    static boost::leaf::result<std::unique_ptr<CallerEndpoint>> create(const Options &options, Handler handler);

    /// Closes all connections and waits until the handlers of requests in flight have returned; connections are no longer accepted meanwhile.
    ~CallerEndpoint();
    CallerEndpoint(const CallerEndpoint &) = delete;
    CallerEndpoint &operator=(const CallerEndpoint &) = delete;

    unsigned short port() const;

    /// Number of requests whose request line has been read and whose response hasn't been sent completely.
    std::size_t requestsInFlight() const;

    /// From now on closes each connection after its next response, so that callers reconnect to other VMs.
    void beginDrain();

    /// Stops accepting connections and closes open ones after their next response.
    void stopAccepting();

    /// Waits until no request is in flight. Returns false if requests are still in flight after @p limit.
    bool waitUntilIdle(std::chrono::milliseconds limit);

private:
    class Server;

    explicit CallerEndpoint(std::unique_ptr<Server> server);

    std::unique_ptr<Server> server;
};

} // namespace Hyssophall
