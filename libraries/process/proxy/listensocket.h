#pragma once

#include "process/settings/settings.h"

namespace Hyssophall {

/// A socket that listens on an endpoint, or the reason why there is none.
struct ListenSocket {
    int descriptor = -1;
    /// The port in use, also when the endpoint names port 0.
    unsigned short port = 0;
    /// The errno value of the failure.
    int error = 0;
};

/// Opens a listening TCP socket on an IPv4 or IPv6 number; the owner of the result closes it.
ListenSocket openListenSocket(const Endpoint &endpoint);

} // namespace Hyssophall
