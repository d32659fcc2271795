#pragma once

#include "process/settings/settings.h"

namespace Hyssophall {

/// A socket that listens on an endpoint, or the error that prevented it.
struct ListenSocket {
    /// -1 on failure.
    int descriptor = -1;
    /// The port in use, also when the endpoint names port 0.
    unsigned short port = 0;
    /// The errno value on failure, otherwise zero.
    int error = 0;
};

/// Opens a listening TCP socket. The endpoint's host is a numeric IPv4 or IPv6 address; the caller closes the socket.
ListenSocket openListenSocket(const Endpoint &endpoint);

} // namespace Hyssophall
