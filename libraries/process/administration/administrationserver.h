#pragma once

#include "process/administration/httpmessage.h"
#include "process/settings/settings.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <functional>
#include <memory>

struct _u_instance;

namespace Hyssophall::Administration {

/// The web server can't be started on this endpoint. Returned by AdministrationServer::create().
struct ServerNotStarted {
    Endpoint endpoint;
};

/// HTTP server for small requests, with a thread for each connection. Serves the administration API, the status endpoints or the platform's control interface.
class AdministrationServer
{
public:
    /// Largest request body; a larger one is refused with status 413.
    static constexpr std::size_t maximumBodyBytes = 1024 * 1024;

    /// Returns the response to one request; called from many threads at once.
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// Starts to serve. Whatever the handler uses must outlive the server. Errors: ServerNotStarted.
    static boost::leaf::result<std::unique_ptr<AdministrationServer>> create(Handler handler, const Endpoint &endpoint, std::size_t maximumConnections);

    AdministrationServer(const AdministrationServer &) = delete;
    AdministrationServer &operator=(const AdministrationServer &) = delete;

    /// Stops the server and waits for the requests in progress.
    ~AdministrationServer();

private:
    explicit AdministrationServer(Handler handler);

    bool start(const Endpoint &endpoint, std::size_t maximumConnections);

    const Handler handler;
    std::unique_ptr<_u_instance> instance;
    bool isStarted = false;
};

} // namespace Hyssophall::Administration
