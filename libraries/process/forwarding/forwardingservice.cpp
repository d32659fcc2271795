#include "process/forwarding/forwardingservice.h"

#include "process/forwarding/forwardedmessages.h"

#include <glog/logging.h>

#include <utility>

namespace Hyssophall {

namespace {

/// Each forwarded request takes a thread. A VM that serves 170 requests a second itself gets as many again when half of the fleet is partitioned.
constexpr std::size_t maximumInFlight = 128;
constexpr int okStatus = 200;
constexpr int malformedStatus = 400;
constexpr int unauthenticatedStatus = 401;
constexpr int unknownTargetStatus = 404;

CallerResponse responseOf(int status, std::string body = {})
{
    CallerResponse response;
    response.http = {status, {{"Content-Type", "application/octet-stream"}}, std::move(body)};
    return response;
}

} // namespace

ForwardingService::ForwardingService(const std::string &fleetSecret, UpstreamSender &direct, Hooks hooks)
    : credential(fleetSecret)
    , direct(direct)
    , hooks(std::move(hooks))
{
}

CallerResponse ForwardingService::handle(const CallerRequest &request)
{
    if (request.http.method != "POST" || request.http.target != target) {
        return responseOf(unknownTargetStatus);
    }
    const std::string *presented = findHeader(request.http.headers, credentialHeader);
    if (presented == nullptr || !this->credential.matches(*presented)) {
        return responseOf(unauthenticatedStatus);
    }
    ForwardingMessages::ForwardedRequest forwarded;
    if (!forwarded.ParseFromString(request.http.body)) {
        return responseOf(malformedStatus);
    }
    return responseOf(okStatus, this->send(forwarded, request.isCallerDisconnected).SerializeAsString());
}

bool ForwardingService::isRefusedUnread(int status)
{
    return status == malformedStatus || status == unauthenticatedStatus || status == unknownTargetStatus;
}

ForwardingMessages::ForwardedResult ForwardingService::send(const ForwardingMessages::ForwardedRequest &request, const std::function<bool()> &isCancelled)
{
    ForwardingMessages::ForwardedResult reply;
    if (!this->hooks.maySend(request.instance()) || !this->begin()) {
        reply.set_failure(ForwardingMessages::FAILURE_KIND_NOT_ACCEPTED);
        return reply;
    }
    UpstreamCall call = decodeForwardedRequest(request, std::chrono::steady_clock::now());
    call.mayBeSent = [&isCancelled] { return !isCancelled || !isCancelled(); };
    call.isCallerDisconnected = isCancelled;
    const UpstreamResult result = this->direct.send(call);
    this->report(request, result);
    reply = encodeForwardedResult(result);
    this->end();
    return reply;
}

bool ForwardingService::begin()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->accepting || this->inFlight >= maximumInFlight) {
        return false;
    }
    ++this->inFlight;
    ++this->accepted;
    return true;
}

void ForwardingService::end()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->inFlight;
    this->idle.notify_all();
}

void ForwardingService::report(const ForwardingMessages::ForwardedRequest &request, const UpstreamResult &result) const
{
    if (result.connectionOpenedAt) {
        this->hooks.connectionOpened(request.host(), *result.connectionOpenedAt);
    }
    if (result.response) {
        this->hooks.responded(request.instance(), *result.response);
        return;
    }
    LOG(WARNING) << "Request " << request.request_id() << " of VM " << request.vm() << " got no response of instance " << request.instance() << ", "
                 << (result.failure->mayHaveSent ? "which may have run it" : "which wasn't reached");
    if (result.failure->kind == UpstreamFailureKind::ConnectFailed) {
        this->hooks.connectFailed(request.instance(), result.latency);
    }
}

void ForwardingService::stopAccepting()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->accepting = false;
}

bool ForwardingService::waitUntilIdle(std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->idle.wait_for(lock, limit, [this] { return this->inFlight == 0; });
}

std::uint64_t ForwardingService::acceptedCount() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->accepted;
}

} // namespace Hyssophall
