#pragma once

#include "announcer.h"
#include "emulator.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <string>

struct _u_instance;
struct _u_request;
struct _u_response;

namespace Hyssophall {

/// The HTTP port can't be opened. Source: EmulatorServer::create().
struct EmulatorPortUnavailable {
    std::uint16_t port;
};

/**
 * The HTTP side of the emulated instance.
 *
 * Serves every path with the emulator's work, and below /_emulator/ its control: PUT faults, GET record, POST leave.
 */
class EmulatorServer
{
public:
    /// Opens the port. @p emulator and @p announcer outlive the server. Errors: EmulatorPortUnavailable.
    static boost::leaf::result<std::unique_ptr<EmulatorServer>> create(const std::string &host, std::uint16_t port, Emulator &emulator, Announcer &announcer);
    ~EmulatorServer();

    EmulatorServer(const EmulatorServer &) = delete;
    EmulatorServer &operator=(const EmulatorServer &) = delete;

private:
    EmulatorServer(Emulator &emulator, Announcer &announcer);

    static int serveWork(const _u_request *request, _u_response *response, void *self);
    static int serveFaults(const _u_request *request, _u_response *response, void *self);
    static int serveRecord(const _u_request *request, _u_response *response, void *self);
    static int serveLeave(const _u_request *request, _u_response *response, void *self);
    void answer(const _u_request *request, _u_response *response);

    Emulator &emulator;
    Announcer &announcer;
    std::unique_ptr<_u_instance> instance;
};

} // namespace Hyssophall
