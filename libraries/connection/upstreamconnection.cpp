#include "connection/upstreamconnection.h"

#include "connection/answerassembler.h"

#include <curl/curl.h>
#include <poll.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace Hyssophall {

namespace {

// A caller that left must not keep an upstream at work; the platform allows half a second until it stops.
constexpr std::chrono::milliseconds abandonmentCheck{100};
/// Bytes on the wire for each byte of the longest answer: an answer in chunks of a few bytes is mostly framing.
constexpr std::size_t framingFactor = 4;
/// Bytes of head and trailers beside that; as much as AnswerAssembler takes.
constexpr std::size_t maximumHeadBytes = 64 * 1024;

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

// What the callbacks of one transfer share.
struct Transfer {
    Transfer(const UpstreamCall &call, std::size_t maximumAnswerBytes)
        : call(call)
        , assembler(call.request.method, maximumAnswerBytes)
    {
    }

    const UpstreamCall &call;
    AnswerAssembler assembler;
    int sendings = 0;
    bool withheld = false;
    bool abandoned = false;
    bool overLimit = false;
    /// Bytes of the answer as they came, framing included.
    std::size_t receivedBytes = 0;
};

int onDebug(CURL *, curl_infotype type, char *, std::size_t size, void *data)
{
    if (type == CURLINFO_HEADER_IN || type == CURLINFO_DATA_IN) {
        static_cast<Transfer *>(data)->receivedBytes += size;
    }
    return 0;
}

int onSending(void *data, char *, char *, int, int)
{
    Transfer &transfer = *static_cast<Transfer *>(data);
    if (transfer.sendings > 0) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer.call.mayBeSent && !transfer.call.mayBeSent()) {
        transfer.withheld = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer.sendings;
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
        // libcurl sends a header without a value only when a semicolon ends its name.
        list.add(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    list.add(call.deadlineHeader + ": " + std::to_string(remaining.count()));
    if (!call.requestId.empty()) {
        list.add("X-Request-Id: " + call.requestId);
    }
    // A name with nothing behind the colon keeps libcurl from adding its own header.
    list.add("Expect:");
    for (const char *name : {"Accept", "Content-Type", "User-Agent"}) {
        if (findHeader(call.request.headers, name) == nullptr) {
            list.add(std::string(name) + ":");
        }
    }
    return list;
}

UpstreamFailureKind failureKind(CURLcode code, const Transfer &transfer)
{
    if (transfer.withheld) {
        return UpstreamFailureKind::Withheld;
    }
    if (transfer.sendings == 0) {
        return UpstreamFailureKind::ConnectFailed;
    }
    if (transfer.abandoned) {
        return UpstreamFailureKind::Abandoned;
    }
    if (transfer.overLimit || transfer.assembler.isOverLimit()) {
        return UpstreamFailureKind::AnswerTooLarge;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return UpstreamFailureKind::TimedOut;
    }
    const bool unreadable = code == CURLE_OK || code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY;
    return transfer.assembler.hasBegun() || unreadable ? UpstreamFailureKind::AnswerIncomplete : UpstreamFailureKind::ConnectionLost;
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
    Handle(CURL *easy, std::string url, std::size_t maximumAnswerBytes, std::chrono::milliseconds connectTimeout)
        : multi(curl_multi_init(), curl_multi_cleanup)
        , easy(easy, curl_easy_cleanup)
        , url(std::move(url))
        , maximumAnswerBytes(maximumAnswerBytes)
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
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, onSending);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        // The other functions don't see the extensions of chunks, which may go on for ever.
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
        // Only a handle that belongs to its multi handle knows its socket.
        curl_socket_t activeSocket = CURL_SOCKET_BAD;
        curl_easy_getinfo(this->easy.get(), CURLINFO_ACTIVESOCKET, &activeSocket);
        this->socket = activeSocket;
        // The connection of a transfer that is removed before its end is closed.
        curl_multi_remove_handle(this->multi.get(), this->easy.get());
        return code;
    }

    bool reusedConnection() const
    {
        long opened = 0;
        curl_easy_getinfo(this->easy.get(), CURLINFO_NUM_CONNECTS, &opened);
        return opened == 0;
    }

    // Holds the connection between transfers, so it outlives the easy handle.
    const std::unique_ptr<CURLM, CURLMcode (*)(CURLM *)> multi;
    const std::unique_ptr<CURL, void (*)(CURL *)> easy;
    const std::string url;
    const std::size_t maximumAnswerBytes;
    const std::chrono::milliseconds connectTimeout;
    curl_socket_t socket = CURL_SOCKET_BAD;

private:
    /// Runs the transfer in steps, between which it looks whether the caller is still there.
    CURLcode transferUntilDone(Transfer &transfer)
    {
        const bool mayBeAbandoned = transfer.call.idempotent && transfer.call.isAbandoned;
        CURLcode code = CURLE_OK;
        int running = 1;
        while (running > 0 && code == CURLE_OK) {
            if (curl_multi_perform(this->multi.get(), &running) != CURLM_OK) {
                code = CURLE_RECV_ERROR;
            } else if (transfer.receivedBytes > framingFactor * this->maximumAnswerBytes + maximumHeadBytes) {
                transfer.overLimit = true;
                code = CURLE_ABORTED_BY_CALLBACK;
            } else if (running > 0) {
                curl_multi_poll(this->multi.get(), nullptr, 0, static_cast<int>(abandonmentCheck.count()), nullptr);
                transfer.abandoned = mayBeAbandoned && transfer.sendings > 0 && transfer.call.isAbandoned();
                code = transfer.abandoned ? CURLE_ABORTED_BY_CALLBACK : CURLE_OK;
            }
        }
        int left = 0;
        const CURLMsg *message = code == CURLE_OK ? curl_multi_info_read(this->multi.get(), &left) : nullptr;
        if (message != nullptr && message->msg == CURLMSG_DONE) {
            code = message->data.result;
        }
        return code;
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
    const std::string &host, std::uint16_t port, std::size_t maximumAnswerBytes, std::chrono::milliseconds connectTimeout)
{
    initializeLibrary();
    CURL *easy = curl_easy_init();
    if (easy == nullptr) {
        return nullptr;
    }
    const std::string bracketed = host.find(':') == std::string::npos ? host : "[" + host + "]";
    std::unique_ptr<Handle> handle
        = std::make_unique<Handle>(easy, "http://" + bracketed + ":" + std::to_string(port) + "/", maximumAnswerBytes, connectTimeout);
    return std::unique_ptr<UpstreamConnection>(new UpstreamConnection(std::move(handle)));
}

UpstreamConnection::UpstreamConnection(std::unique_ptr<Handle> handle)
    : handle(std::move(handle))
{
}

UpstreamConnection::~UpstreamConnection() = default;

UpstreamResult UpstreamConnection::send(const UpstreamCall &call, SteadyTime now, SteadyTime deadline)
{
    UpstreamResult result;
    const std::chrono::milliseconds remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    if (remaining.count() <= 0) {
        result.failure = UpstreamFailure{UpstreamFailureKind::TimedOut, false, false};
        return result;
    }
    Transfer transfer(call, this->handle->maximumAnswerBytes);
    const HeaderList headers = headerList(call, std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now));
    this->handle->prepare(call, remaining, headers, transfer);
    const CURLcode code = this->handle->perform(transfer);
    result.reusedConnection = this->handle->reusedConnection();
    if (code != CURLE_OK || !transfer.assembler.isWhole()) {
        this->handle->socket = CURL_SOCKET_BAD;
        result.failure = UpstreamFailure{failureKind(code, transfer), transfer.sendings > 0, false};
        return result;
    }
    HttpAnswer answer = transfer.assembler.take();
    const std::string *echoedId = findHeader(answer.headers, "X-Request-Id");
    if (echoedId != nullptr && !call.requestId.empty() && *echoedId != call.requestId) {
        this->handle->socket = CURL_SOCKET_BAD;
        result.failure = UpstreamFailure{UpstreamFailureKind::AnswerCrossed, true, false};
        return result;
    }
    this->successTime = std::chrono::steady_clock::now();
    result.answer = std::move(answer);
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
