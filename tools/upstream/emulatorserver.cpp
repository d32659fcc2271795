#include "emulatorserver.h"

#include <arpa/inet.h>
#include <boost/leaf/handle_errors.hpp>
#include <ulfius.h>

#include <cstdlib>
#include <cstring>

namespace Hyssophall {

namespace {

constexpr std::size_t truncatedLength = 1000;
constexpr unsigned int connectionLimit = 400;

std::string headerOf(const _u_request *request, const char *name)
{
    const char *value = u_map_get_case(request->map_header, name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string bodyOf(const _u_request *request)
{
    return std::string(static_cast<const char *>(request->binary_body), request->binary_body_length);
}

// Sends a part of the promised length and then fails, so that the connection ends inside the answer.
ssize_t streamHalf(void *, std::uint64_t offset, char *buffer, std::size_t size)
{
    if (offset >= truncatedLength / 2) {
        return U_STREAM_ERROR;
    }
    const std::size_t length = std::min(size, truncatedLength / 2);
    std::memset(buffer, 'x', length);
    return static_cast<ssize_t>(length);
}

void setJson(_u_response *response, unsigned int status, const nlohmann::json &body)
{
    ulfius_set_string_body_response(response, status, body.dump().c_str());
    u_map_put(response->map_header, "Content-Type", "application/json");
}

} // namespace

EmulatorServer::EmulatorServer(Emulator &emulator, Announcer &announcer)
    : emulator(emulator)
    , announcer(announcer)
    , instance(std::make_unique<_u_instance>())
{
}

boost::leaf::result<std::unique_ptr<EmulatorServer>> EmulatorServer::create(
    const std::string &host, std::uint16_t port, Emulator &emulator, Announcer &announcer)
{
    std::unique_ptr<EmulatorServer> server(new EmulatorServer(emulator, announcer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (ulfius_init_instance(server->instance.get(), port, &address, nullptr) != U_OK) {
        return boost::leaf::new_error(EmulatorPortUnavailable{port});
    }
    ulfius_add_endpoint_by_val(server->instance.get(), "PUT", "/_emulator", "/faults", 0, &EmulatorServer::serveFaults, server.get());
    ulfius_add_endpoint_by_val(server->instance.get(), "GET", "/_emulator", "/record", 0, &EmulatorServer::serveRecord, server.get());
    ulfius_add_endpoint_by_val(server->instance.get(), "POST", "/_emulator", "/leave", 0, &EmulatorServer::serveLeave, server.get());
    ulfius_set_default_endpoint(server->instance.get(), &EmulatorServer::serveWork, server.get());
    MHD_OptionItem options[] = {
        {MHD_OPTION_CONNECTION_LIMIT, connectionLimit, nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(mhd_request_completed), nullptr},
        {MHD_OPTION_END, 0, nullptr},
    };
    const unsigned int flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ERROR_LOG;
    if (ulfius_start_framework_with_mhd_options(server->instance.get(), flags, options) != U_OK) {
        return boost::leaf::new_error(EmulatorPortUnavailable{port});
    }
    return server;
}

EmulatorServer::~EmulatorServer()
{
    ulfius_stop_framework(this->instance.get());
    ulfius_clean_instance(this->instance.get());
}

int EmulatorServer::serveWork(const _u_request *request, _u_response *response, void *self)
{
    static_cast<EmulatorServer *>(self)->answer(request, response);
    return U_CALLBACK_CONTINUE;
}

void EmulatorServer::answer(const _u_request *request, _u_response *response)
{
    if (!headerOf(request, "Authorization").empty() || !headerOf(request, "X-Api-Key").empty()) {
        this->emulator.noteCredentialSeen();
    }
    const std::string body = bodyOf(request);
    std::string runKey = headerOf(request, "Idempotency-Key");
    if (runKey.empty()) {
        runKey = std::string(request->http_verb) + " " + request->http_url;
    }
    const Emulator::Result result = this->emulator.run(runKey, std::string(request->http_url) + "\n" + body);
    switch (result) {
    case Emulator::Result::Crash:
        std::_Exit(EXIT_FAILURE);
    case Emulator::Result::Shed:
        u_map_put(response->map_header, "Hyssophall-Not-Run", "true");
        setJson(response, 503, {{"shed", true}});
        return;
    case Emulator::Result::Error:
        setJson(response, 500, {{"error", "emulated"}});
        return;
    case Emulator::Result::Truncated:
        ulfius_set_stream_response(response, 200, &streamHalf, nullptr, truncatedLength, truncatedLength / 2, nullptr);
        return;
    case Emulator::Result::Answered:
        setJson(response, 200, {{"url", request->http_url}, {"method", request->http_verb}, {"body", body}, {"trace", headerOf(request, "traceparent")}});
        return;
    }
}

int EmulatorServer::serveFaults(const _u_request *request, _u_response *response, void *self)
{
    const nlohmann::json description = nlohmann::json::parse(bodyOf(request), nullptr, false);
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(faults, parseFaults(description));
            static_cast<EmulatorServer *>(self)->emulator.setFaults(faults);
            setJson(response, 200, {{"accepted", true}});
            return {};
        },
        [&](const InvalidFaults &error) {
            setJson(response, 422, {{"field", error.field}});
        },
        [&] { setJson(response, 500, nlohmann::json::object()); });
    return U_CALLBACK_COMPLETE;
}

int EmulatorServer::serveRecord(const _u_request *, _u_response *response, void *self)
{
    nlohmann::json record = static_cast<EmulatorServer *>(self)->emulator.record();
    record["announcements_accepted"] = static_cast<EmulatorServer *>(self)->announcer.acceptedCount();
    setJson(response, 200, record);
    return U_CALLBACK_COMPLETE;
}

int EmulatorServer::serveLeave(const _u_request *, _u_response *response, void *self)
{
    static_cast<EmulatorServer *>(self)->announcer.leave();
    setJson(response, 200, {{"leaving", true}});
    return U_CALLBACK_COMPLETE;
}

} // namespace Hyssophall
