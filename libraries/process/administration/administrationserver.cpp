#include "process/administration/administrationserver.h"

#include "process/administration/responses.h"

#include <boost/leaf/error.hpp>
#include <ulfius.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <exception>
#include <glog/logging.h>
#include <string_view>
#include <utility>

namespace Hyssophall::Administration {

namespace leaf = boost::leaf;

namespace {

/// Longer than any handler blocks, so that the web server closes only idle connections.
constexpr unsigned idleTimeoutSeconds = 30;
constexpr std::size_t connectionMemoryBytes = 32 * 1024;

std::string decode(const std::string &text)
{
    char *decoded = ulfius_url_decode(text.c_str());
    std::string result = decoded == nullptr ? "" : decoded;
    u_free(decoded);
    return result;
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        segments.push_back(decode(std::string(path.substr(start, end - start))));
        start = end + 1;
    }
    return segments;
}

std::string bearerToken(const _u_request &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const char *header = u_map_get_case(request.map_header, "Authorization");
    const std::string_view value = header == nullptr ? "" : header;
    return value.substr(0, scheme.size()) == scheme ? std::string(value.substr(scheme.size())) : "";
}

HttpRequest readRequest(const _u_request &request)
{
    HttpRequest read;
    read.method = request.http_verb;
    const std::string_view url = request.http_url;
    read.segments = splitPath(url.substr(0, url.find('?')));
    for (const char **key = u_map_enum_keys(request.map_url); key != nullptr && *key != nullptr; ++key) {
        const char *value = u_map_get(request.map_url, *key);
        read.query[*key] = value == nullptr ? "" : value;
    }
    read.bearer = bearerToken(request);
    if (request.binary_body != nullptr) {
        read.body.assign(static_cast<const char *>(request.binary_body), request.binary_body_length);
    }
    return read;
}

// Catches exceptions here, because one that reached the web server's C code would terminate the process.
HttpResponse callHandler(const HttpRequest &request, const AdministrationServer::Handler &handler)
{
    if (request.body.size() > AdministrationServer::maximumBodyBytes) {
        return errorResponse(413, "request_too_large", "the body is over 1 MiB");
    }
    try {
        return handler(request);
    } catch (const std::exception &exception) {
        LOG(ERROR) << "An administration request failed with an exception: " << exception.what();
        return errorResponse(500, "internal", "the request failed in an unexpected way");
    }
}

int handleRequest(const _u_request *request, _u_response *response, void *handler)
{
    const HttpResponse result = callHandler(readRequest(*request), *static_cast<const AdministrationServer::Handler *>(handler));
    ulfius_add_header_to_response(response, "Content-Type", result.contentType.c_str());
    // Responses may contain keys, and state that changes at any time.
    ulfius_add_header_to_response(response, "Cache-Control", "no-store");
    ulfius_set_binary_body_response(response, static_cast<unsigned>(result.status), result.body.data(), result.body.size());
    return U_CALLBACK_COMPLETE;
}

/// Converts an endpoint to a socket address; false unless the host is an IPv4 address or an IPv6 address in brackets.
bool fillAddress(const Endpoint &endpoint, sockaddr_storage &storage)
{
    if (!endpoint.host.empty() && endpoint.host.front() == '[') {
        sockaddr_in6 &address = reinterpret_cast<sockaddr_in6 &>(storage);
        address.sin6_family = AF_INET6;
        address.sin6_port = htons(endpoint.port);
        return inet_pton(AF_INET6, endpoint.host.substr(1, endpoint.host.size() - 2).c_str(), &address.sin6_addr) == 1;
    }
    sockaddr_in &address = reinterpret_cast<sockaddr_in &>(storage);
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    return inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) == 1;
}

} // namespace

AdministrationServer::AdministrationServer(Handler handler)
    : handler(std::move(handler))
    , instance(std::make_unique<_u_instance>())
{
}

leaf::result<std::unique_ptr<AdministrationServer>> AdministrationServer::create(Handler handler, const Endpoint &endpoint, std::size_t maximumConnections)
{
    std::unique_ptr<AdministrationServer> server(new AdministrationServer(std::move(handler)));
    if (!server->start(endpoint, maximumConnections)) {
        return leaf::new_error(ServerNotStarted{endpoint});
    }
    return server;
}

AdministrationServer::~AdministrationServer()
{
    if (this->isStarted) {
        ulfius_stop_framework(this->instance.get());
    }
    ulfius_clean_instance(this->instance.get());
}

bool AdministrationServer::start(const Endpoint &endpoint, std::size_t maximumConnections)
{
    sockaddr_storage address{};
    if (ulfius_init_instance(this->instance.get(), endpoint.port, nullptr, nullptr) != U_OK || !fillAddress(endpoint, address)) {
        return false;
    }
    // One byte above the limit, because ulfius truncates a longer body without an error; callHandler() refuses such a body.
    this->instance->max_post_body_size = maximumBodyBytes + 1;
    this->instance->allowed_post_processor = U_POST_PROCESS_NONE;
    if (ulfius_set_default_endpoint(this->instance.get(), handleRequest, const_cast<Handler *>(&this->handler)) != U_OK) {
        return false;
    }
    std::array<MHD_OptionItem, 7> options{{
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(ulfius_uri_logger), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<std::intptr_t>(maximumConnections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds, nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes, nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_END, 0, nullptr},
    }};
    const unsigned family = address.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0;
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | family;
    this->isStarted = ulfius_start_framework_with_mhd_options(this->instance.get(), flags, options.data()) == U_OK;
    return this->isStarted;
}

} // namespace Hyssophall::Administration
