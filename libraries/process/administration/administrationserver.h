#pragma once

#include "process/administration/administrationapi.h"
#include "process/settings/settings.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <memory>

struct _u_instance;

namespace Hyssophall::Administration {

/// The administration port can't be opened. Source: AdministrationServer::create().
struct ServerNotStarted {
    Endpoint endpoint;
};

/// Serves the administration API over HTTP, with a thread for each connection.
class AdministrationServer
{
public:
    /// Largest body of a request; a larger one is refused with 413.
    static constexpr std::size_t maximumBodyBytes = 1024 * 1024;

    /// The API outlives the server. Errors: ServerNotStarted.
    static boost::leaf::result<std::unique_ptr<AdministrationServer>> create(AdministrationApi &api, const Endpoint &endpoint, std::size_t maximumConnections);

    AdministrationServer(const AdministrationServer &) = delete;
    AdministrationServer &operator=(const AdministrationServer &) = delete;

    /// Waits for requests that are being answered.
    ~AdministrationServer();

private:
    explicit AdministrationServer(AdministrationApi &api);

    bool start(const Endpoint &endpoint, std::size_t maximumConnections);

    AdministrationApi &api;
    std::unique_ptr<_u_instance> instance;
    bool isStarted = false;
};

} // namespace Hyssophall::Administration
