#pragma once

#include "process/administration/httpmessage.h"
#include "process/settings/settings.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <functional>
#include <memory>

struct _u_instance;

namespace Hyssophall::Administration {

/// The administration port can't be opened. Source: AdministrationServer::create().
struct ServerNotStarted {
    Endpoint endpoint;
};

/// Serves an API of small requests over HTTP, with a thread for each connection: the administration API, or one of a deployment's platform.
class AdministrationServer
{
public:
    /// Largest body of a request; a larger one is refused with 413.
    static constexpr std::size_t maximumBodyBytes = 1024 * 1024;

    /// Answers one request; called from many threads.
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// What the handler uses outlives the server. Errors: ServerNotStarted.
    static boost::leaf::result<std::unique_ptr<AdministrationServer>> create(Handler handler, const Endpoint &endpoint, std::size_t maximumConnections);

    AdministrationServer(const AdministrationServer &) = delete;
    AdministrationServer &operator=(const AdministrationServer &) = delete;

    /// Waits for requests that are being answered.
    ~AdministrationServer();

private:
    explicit AdministrationServer(Handler handler);

    bool start(const Endpoint &endpoint, std::size_t maximumConnections);

    const Handler handler;
    std::unique_ptr<_u_instance> instance;
    bool isStarted = false;
};

} // namespace Hyssophall::Administration
