#include "connection/upstreamconnection.h"

#include "connection/responseassembler.h"

#include <curl/curl.h>
#include <poll.h>

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace {

// How often a transfer checks whether its caller has disconnected or an abort point has passed. The platform requires that upstreams stop working for
// such a caller within 500 ms.
constexpr std::chrono::milliseconds checkInterval{100};
/// Bytes allowed on the wire per byte of the largest body allowed. A response in chunks of a few bytes consists mostly of framing.
constexpr std::size_t framingFactor = 4;
/// Bytes allowed on the wire for headers and trailers in addition; the same limit as in ResponseAssembler.
constexpr std::size_t maximumHeaderBytes = 64 * 1024;

struct ListDeleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

class HeaderList
{
public:
    void add(const std::string &line)
    {
        curl_slist *longer = curl_slist_append(this->list.get(), line.c_str());
        if (longer != nullptr) {
            static_cast<void>(this->list.release());
            this->list.reset(longer);
        }
    }

    curl_slist *get() const
    {
        return this->list.get();
    }

private:
    std::unique_ptr<curl_slist, ListDeleter> list;
};

// State of one transfer, shared by its libcurl callbacks.
struct Transfer {
    Transfer(const UpstreamCall &call, const UpstreamConnection::ResponseLimits &limits)
        : call(call)
        , assembler(call.request.method, limits.maximumBytes, *limits.budget)
    {
    }

    /// Whether an abort point has passed at which the try may end. Each is asked once.
    bool isAborted(SteadyTime now)
    {
        bool aborted = false;
        std::erase_if(this->abortPoints, [now, &aborted](const UpstreamConnection::AbortPoint &point) {
            const bool isDue = now >= point.at;
            aborted = aborted || (isDue && (!point.mayAbort || point.mayAbort()));
            return isDue;
        });
        return aborted;
    }

    const UpstreamCall &call;
    ResponseAssembler assembler;
    std::vector<UpstreamConnection::AbortPoint> abortPoints;
    int sendCount = 0;
    bool rejectedBeforeSend = false;
    bool callerDisconnected = false;
    bool overLimit = false;
    /// Bytes received on the wire, including framing.
    std::size_t receivedBytes = 0;
};

int onDebug(CURL *, curl_infotype type, char *, std::size_t size, void *data)
{
    if (type == CURLINFO_HEADER_IN || type == CURLINFO_DATA_IN) {
        static_cast<Transfer *>(data)->receivedBytes += size;
    }
    return 0;
}

int onBeforeSend(void *data, char *, char *, int, int)
{
    Transfer &transfer = *static_cast<Transfer *>(data);
    if (transfer.sendCount > 0) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer.call.mayBeSent && !transfer.call.mayBeSent()) {
        transfer.rejectedBeforeSend = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer.sendCount;
    return CURL_PREREQFUNC_OK;
}

std::size_t onHeader(char *bytes, std::size_t size, std::size_t count, void *data)
{
    return static_cast<Transfer *>(data)->assembler.addHeaderLine({bytes, size * count}) ? size * count : 0;
}

std::size_t onBody(char *bytes, std::size_t size, std::size_t count, void *data)
{
    return static_cast<Transfer *>(data)->assembler.addBody({bytes, size * count}) ? size * count : 0;
}

HeaderList headerList(const UpstreamCall &call, std::chrono::milliseconds remaining)
{
    HeaderList list;
    for (const HttpHeader &header : call.request.headers) {
        // libcurl sends a header with an empty value only if the line ends with a semicolon in place of the colon.
        list.add(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    list.add(call.deadlineHeader + ": " + std::to_string(remaining.count()));
    if (!call.requestId.empty()) {
        list.add("X-Request-Id: " + call.requestId);
    }
    // A line that ends with the colon stops libcurl from adding its default header of that name.
    list.add("Expect:");
    for (const char *name : {"Accept", "Content-Type", "User-Agent"}) {
        if (findHeader(call.request.headers, name) == nullptr) {
            list.add(std::string(name) + ":");
        }
    }
    return list;
}

/// False if a part of the request would end its line, so that an instance would read other headers or another request than meant.
bool isPlainCall(const UpstreamCall &call)
{
    const auto isVisible
        = [](const std::string &text) { return std::all_of(text.begin(), text.end(), [](unsigned char byte) { return byte > ' ' && byte != 0x7f; }); };
    const HttpHeaders &headers = call.request.headers;
    return isVisible(call.request.method) && isVisible(call.request.target) && std::all_of(headers.begin(), headers.end(), isPlainHeader)
        && isPlainHeader({"X-Request-Id", call.requestId}) && isPlainHeader({call.deadlineHeader, ""});
}

UpstreamFailureKind failureKind(CURLcode code, const Transfer &transfer)
{
    if (transfer.rejectedBeforeSend) {
        return UpstreamFailureKind::RejectedBeforeSend;
    }
    if (transfer.sendCount == 0) {
        return UpstreamFailureKind::ConnectFailed;
    }
    if (transfer.callerDisconnected) {
        return UpstreamFailureKind::CallerDisconnected;
    }
    if (transfer.overLimit || transfer.assembler.isOverLimit()) {
        return UpstreamFailureKind::ResponseTooLarge;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return UpstreamFailureKind::TimedOut;
    }
    const bool unreadable = code == CURLE_OK || code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY;
    return transfer.assembler.hasStarted() || unreadable ? UpstreamFailureKind::ResponseIncomplete : UpstreamFailureKind::ConnectionLost;
}

void initializeLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

class UpstreamConnection::Handle
{
public:
    Handle(CURL *easy, std::string url, ResponseLimits limits, std::chrono::milliseconds connectTimeout)
        : multi(curl_multi_init(), curl_multi_cleanup)
        , easy(easy, curl_easy_cleanup)
        , url(std::move(url))
        , limits(std::move(limits))
        , connectTimeout(connectTimeout)
    {
    }

    void prepare(const UpstreamCall &call, std::chrono::milliseconds remaining, const HeaderList &headers, Transfer &transfer)
    {
        CURL *handle = this->easy.get();
        curl_easy_reset(handle);
        curl_easy_setopt(handle, CURLOPT_URL, this->url.c_str());
        curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, call.request.target.c_str());
        curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
        curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.idempotent ? 0L : 1L);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(remaining.count()));
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(remaining, this->connectTimeout).count()));
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, onBeforeSend);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        // Counts the received bytes. The header and write callbacks don't see chunk extensions, which can be endless.
        curl_easy_setopt(handle, CURLOPT_VERBOSE, 1L);
        curl_easy_setopt(handle, CURLOPT_DEBUGFUNCTION, onDebug);
        curl_easy_setopt(handle, CURLOPT_DEBUGDATA, &transfer);
        this->prepareMethod(call.request);
    }

    CURLcode perform(Transfer &transfer)
    {
        if (this->multi == nullptr || curl_multi_add_handle(this->multi.get(), this->easy.get()) != CURLM_OK) {
            return CURLE_FAILED_INIT;
        }
        const CURLcode code = this->transferUntilDone(transfer);
        // The socket is known only while the easy handle belongs to the multi handle.
        curl_socket_t activeSocket = CURL_SOCKET_BAD;
        curl_easy_getinfo(this->easy.get(), CURLINFO_ACTIVESOCKET, &activeSocket);
        this->socket = activeSocket;
        // If the transfer hasn't finished, libcurl closes its connection here.
        curl_multi_remove_handle(this->multi.get(), this->easy.get());
        return code;
    }

    /// Time from the start of the transfer until a new connection was established; nothing if none was.
    std::optional<std::chrono::microseconds> connectDuration() const
    {
        // Counts only connections that were established.
        long openedConnections = 0;
        curl_easy_getinfo(this->easy.get(), CURLINFO_NUM_CONNECTS, &openedConnections);
        curl_off_t microseconds = 0;
        curl_easy_getinfo(this->easy.get(), CURLINFO_CONNECT_TIME_T, &microseconds);
        return openedConnections > 0 ? std::optional<std::chrono::microseconds>(microseconds) : std::nullopt;
    }

    // Owns the connection between transfers, so it must outlive the easy handle.
    const std::unique_ptr<CURLM, CURLMcode (*)(CURLM *)> multi;
    const std::unique_ptr<CURL, void (*)(CURL *)> easy;
    const std::string url;
    const ResponseLimits limits;
    const std::chrono::milliseconds connectTimeout;
    curl_socket_t socket = CURL_SOCKET_BAD;

private:
    /// Runs the transfer in steps and checks between them whether the size limit is exceeded or the caller has disconnected.
    CURLcode transferUntilDone(Transfer &transfer)
    {
        const bool checksCaller = transfer.call.idempotent && transfer.call.isCallerDisconnected;
        CURLcode code = CURLE_OK;
        int running = 1;
        while (running > 0 && code == CURLE_OK) {
            if (curl_multi_perform(this->multi.get(), &running) != CURLM_OK) {
                code = CURLE_RECV_ERROR;
            } else if (transfer.receivedBytes > framingFactor * this->limits.maximumBytes + maximumHeaderBytes) {
                transfer.overLimit = true;
                code = CURLE_ABORTED_BY_CALLBACK;
            } else if (running > 0) {
                curl_multi_poll(this->multi.get(), nullptr, 0, static_cast<int>(checkInterval.count()), nullptr);
                code = this->checkTransfer(transfer, checksCaller);
            }
        }
        int left = 0;
        const CURLMsg *message = code == CURLE_OK ? curl_multi_info_read(this->multi.get(), &left) : nullptr;
        if (message != nullptr && message->msg == CURLMSG_DONE) {
            code = message->data.result;
        }
        return code;
    }

    static CURLcode checkTransfer(Transfer &transfer, bool checksCaller)
    {
        transfer.callerDisconnected = checksCaller && transfer.sendCount > 0 && transfer.call.isCallerDisconnected();
        if (transfer.callerDisconnected) {
            return CURLE_ABORTED_BY_CALLBACK;
        }
        return transfer.isAborted(std::chrono::steady_clock::now()) ? CURLE_OPERATION_TIMEDOUT : CURLE_OK;
    }

    void prepareMethod(const HttpRequest &request)
    {
        CURL *handle = this->easy.get();
        const bool expectsBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
        if (request.method == "HEAD") {
            curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        } else if (expectsBody || !request.body.empty()) {
            curl_easy_setopt(handle, CURLOPT_POST, 1L);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        } else {
            curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        }
    }
};

std::unique_ptr<UpstreamConnection> UpstreamConnection::create(
    const std::string &host, std::uint16_t port, ResponseLimits limits, std::chrono::milliseconds connectTimeout)
{
    initializeLibrary();
    CURL *easy = curl_easy_init();
    if (easy == nullptr) {
        return nullptr;
    }
    const std::string bracketed = host.find(':') == std::string::npos ? host : "[" + host + "]";
    std::unique_ptr<Handle> handle
        = std::make_unique<Handle>(easy, "http://" + bracketed + ":" + std::to_string(port) + "/", std::move(limits), connectTimeout);
    return std::unique_ptr<UpstreamConnection>(new UpstreamConnection(std::move(handle)));
}

UpstreamConnection::UpstreamConnection(std::unique_ptr<Handle> handle)
    : handle(std::move(handle))
{
}

UpstreamConnection::~UpstreamConnection() = default;

UpstreamResult UpstreamConnection::send(const UpstreamCall &call, SteadyTime now, std::vector<AbortPoint> abortPoints)
{
    UpstreamResult result;
    const std::chrono::milliseconds remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
    if (remaining.count() <= 0) {
        result.failure = UpstreamFailure{UpstreamFailureKind::TimedOut, false, false};
        return result;
    }
    if (!isPlainCall(call)) {
        result.failure = UpstreamFailure{UpstreamFailureKind::RejectedBeforeSend, false, false};
        return result;
    }
    Transfer transfer(call, this->handle->limits);
    transfer.abortPoints = std::move(abortPoints);
    const HeaderList headers = headerList(call, remaining);
    this->handle->prepare(call, remaining, headers, transfer);
    const CURLcode code = this->handle->perform(transfer);
    const std::optional<std::chrono::microseconds> connectDuration = this->handle->connectDuration();
    if (connectDuration) {
        result.connectionOpenedAt = now + *connectDuration;
    }
    result.reusedConnection = transfer.sendCount > 0 && !connectDuration;
    if (code != CURLE_OK || !transfer.assembler.isComplete()) {
        this->handle->socket = CURL_SOCKET_BAD;
        result.failure = UpstreamFailure{failureKind(code, transfer), transfer.sendCount > 0, false};
        return result;
    }
    HttpResponse response = transfer.assembler.takeResponse();
    const std::string *echoedId = findHeader(response.headers, "X-Request-Id");
    // An instance that returned the id before returns it in each of its responses, so one without it is a surplus response to an earlier request.
    const bool isOther = echoedId == nullptr ? this->returnsRequestIds : *echoedId != call.requestId;
    if (!call.requestId.empty() && isOther) {
        this->handle->socket = CURL_SOCKET_BAD;
        result.failure = UpstreamFailure{UpstreamFailureKind::ResponseMismatched, true, false};
        return result;
    }
    this->returnsRequestIds = this->returnsRequestIds || echoedId != nullptr;
    this->successTime = std::chrono::steady_clock::now();
    result.response = std::move(response);
    return result;
}

bool UpstreamConnection::isReusable() const
{
    if (this->handle->socket == CURL_SOCKET_BAD) {
        return false;
    }
    pollfd state{this->handle->socket, POLLIN | POLLRDHUP, 0};
    return poll(&state, 1, 0) == 0;
}

SteadyTime UpstreamConnection::lastSuccess() const
{
    return this->successTime;
}

} // namespace Hyssophall
