#include "process/proxy/callerendpoint.h"

#include "process/proxy/listensocket.h"
#include "process/proxy/ulfiusmessage.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <exception>
#include <glog/logging.h>
#include <mutex>
#include <set>
#include <utility>

namespace Hyssophall {

namespace {

// True if the caller has closed its connection. A caller that shut down only its sending side counts as disconnected too, as in other gateways.
bool isClosedByCaller(int socket)
{
    // Not checked by reading: if a pipelined request is waiting, a read returns its bytes and doesn't show the end of the stream behind them.
    pollfd state{socket, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0;
}

} // namespace

class CallerEndpoint::Server
{
public:
    Server(const Options &options, Handler handler)
        : options(options)
        , handler(std::move(handler))
    {
    }

    ~Server()
    {
        if (this->started) {
            ulfius_stop_framework(&this->instance);
        }
        if (this->initialized) {
            ulfius_clean_instance(&this->instance);
        }
        if (this->listenSocketAfterStop >= 0) {
            close(this->listenSocketAfterStop);
        }
    }

    bool start(int listenSocket)
    {
        if (ulfius_init_instance(&this->instance, this->port, nullptr, nullptr) != U_OK) {
            return false;
        }
        this->initialized = true;
        // ulfius truncates a longer body without reporting it. With one byte more than allowed, a body above the limit can be recognized by its size.
        this->instance.max_post_body_size = this->options.maximumRequestBytes + 1;
        this->instance.allowed_post_processor = U_POST_PROCESS_NONE;
        this->instance.check_utf8 = 0;
        if (ulfius_add_endpoint_by_val(&this->instance, "*", nullptr, "*", 0, onRequest, this) != U_OK
            || ulfius_set_default_endpoint(&this->instance, onRequest, this) != U_OK) {
            return false;
        }
        std::array<MHD_OptionItem, 8> mhdOptions{{
            {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(onCompleted), this},
            {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(onRequestLine), this},
            {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(onConnection), this},
            {MHD_OPTION_LISTEN_SOCKET, listenSocket, nullptr},
            {MHD_OPTION_CONNECTION_LIMIT, static_cast<std::intptr_t>(this->options.maximumConnections), nullptr},
            {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<std::intptr_t>(this->options.connectionTimeout.count()), nullptr},
            {MHD_OPTION_THREAD_STACK_SIZE, 512 * 1024, nullptr},
            {MHD_OPTION_END, 0, nullptr},
        }};
        const unsigned int flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
        this->started = ulfius_start_framework_with_mhd_options(&this->instance, flags, mhdOptions.data()) == U_OK;
        return this->started;
    }

    void stopAccepting()
    {
        if (this->listenSocketAfterStop < 0) {
            this->listenSocketAfterStop = MHD_quiesce_daemon(this->instance.mhd_daemon);
        }
    }

    const Options options;
    const Handler handler;
    unsigned int port = 0;
    std::atomic<bool> draining{false};
    std::mutex mutex;
    std::condition_variable idle;
    // The connections whose request is in flight; a connection has one request at a time.
    std::set<const MHD_Connection *> inFlight;

private:
    static Server &fromUserData(void *data)
    {
        return *static_cast<Server *>(data);
    }

    static void *onRequestLine(void *data, const char *target, MHD_Connection *connection)
    {
        Server &server = fromUserData(data);
        const MHD_ConnectionInfo *information = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        connectionSocket = information == nullptr ? -1 : information->connect_fd;
        {
            std::lock_guard<std::mutex> lock(server.mutex);
            server.inFlight.insert(connection);
        }
        return ulfius_uri_logger(&server.instance, target);
    }

    static void onCompleted(void *data, MHD_Connection *connection, void **request, MHD_RequestTerminationCode code)
    {
        Server &server = fromUserData(data);
        mhd_request_completed(&server.instance, connection, request, code);
        server.markFinished(connection);
    }

    // libmicrohttpd doesn't call onCompleted() for a connection that closes before the headers of its request are complete.
    static void onConnection(void *data, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
    {
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            fromUserData(data).markFinished(connection);
        }
    }

    static int onRequest(const _u_request *request, _u_response *ulfiusResponse, void *data)
    {
        Server &server = fromUserData(data);
        CallerRequest callerRequest = toCallerRequest(*request);
        if (connectionSocket >= 0) {
            callerRequest.isCallerDisconnected = [socket = connectionSocket] { return isClosedByCaller(socket); };
        }
        CallerResponse response = server.handleSafely(callerRequest);
        if (server.draining) {
            response.http.headers.push_back({"Connection", "close"});
        }
        writeResponse(response.http, callerRequest.http.method, *ulfiusResponse);
        return U_CALLBACK_COMPLETE;
    }

    // Catches the handler's exceptions: one that propagated into the web server's C code would terminate the process.
    CallerResponse handleSafely(const CallerRequest &request) const
    {
        if (request.http.body.size() > this->options.maximumRequestBytes) {
            return refusalResponse({RefusalCode::RequestTooLarge, RequestOutcome::NotRun});
        }
        try {
            return this->handler(request);
        } catch (const std::exception &exception) {
            LOG(ERROR) << "A caller's request failed unexpectedly: " << exception.what();
            return refusalResponse({RefusalCode::UpstreamFailed, RequestOutcome::Unknown});
        }
    }

    void markFinished(const MHD_Connection *connection)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->inFlight.erase(connection);
        if (this->inFlight.empty()) {
            this->idle.notify_all();
        }
    }

    // The socket of the connection that the current thread serves. ulfius doesn't pass the connection to its callbacks, but each connection has a thread
    // of its own, on which all its callbacks run.
    static thread_local int connectionSocket;
    _u_instance instance{};
    bool initialized = false;
    bool started = false;
    int listenSocketAfterStop = -1;
};

thread_local int CallerEndpoint::Server::connectionSocket = -1;

boost::leaf::result<std::unique_ptr<CallerEndpoint>> CallerEndpoint::create(const Options &options, Handler handler)
{
    std::unique_ptr<Server> server = std::make_unique<Server>(options, std::move(handler));
    const ListenSocket listening = openListenSocket(options.endpoint);
    if (listening.descriptor < 0) {
        return boost::leaf::new_error(EndpointFailure{options.endpoint, listening.error});
    }
    server->port = listening.port;
    if (!server->start(listening.descriptor)) {
        return boost::leaf::new_error(EndpointFailure{options.endpoint, 0});
    }
    return std::unique_ptr<CallerEndpoint>(new CallerEndpoint(std::move(server)));
}

CallerEndpoint::CallerEndpoint(std::unique_ptr<Server> server)
    : server(std::move(server))
{
}

CallerEndpoint::~CallerEndpoint() = default;

unsigned short CallerEndpoint::port() const
{
    return static_cast<unsigned short>(this->server->port);
}

std::size_t CallerEndpoint::requestsInFlight() const
{
    std::lock_guard<std::mutex> lock(this->server->mutex);
    return this->server->inFlight.size();
}

void CallerEndpoint::beginDrain()
{
    this->server->draining = true;
}

void CallerEndpoint::stopAccepting()
{
    this->server->draining = true;
    this->server->stopAccepting();
}

bool CallerEndpoint::waitUntilIdle(std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(this->server->mutex);
    return this->server->idle.wait_for(lock, limit, [this] { return this->server->inFlight.empty(); });
}

} // namespace Hyssophall
