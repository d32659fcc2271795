#include "process/forwarding/forwardedmessages.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Hyssophall {

namespace {

std::uint32_t millisecondsUntil(SteadyTime time, SteadyTime now)
{
    return static_cast<std::uint32_t>(std::max<std::chrono::milliseconds::rep>(0, std::chrono::duration_cast<std::chrono::milliseconds>(time - now).count()));
}

ForwardingMessages::FailureKind encodeKind(UpstreamFailureKind kind)
{
    switch (kind) {
    case UpstreamFailureKind::ConnectFailed:
        return ForwardingMessages::FAILURE_KIND_CONNECT_FAILED;
    case UpstreamFailureKind::RejectedBeforeSend:
    case UpstreamFailureKind::NoPath:
        return ForwardingMessages::FAILURE_KIND_NOT_ACCEPTED;
    case UpstreamFailureKind::CallerDisconnected:
        return ForwardingMessages::FAILURE_KIND_CALLER_DISCONNECTED;
    case UpstreamFailureKind::TimedOut:
        return ForwardingMessages::FAILURE_KIND_TIMED_OUT;
    case UpstreamFailureKind::ConnectionLost:
        return ForwardingMessages::FAILURE_KIND_CONNECTION_LOST;
    case UpstreamFailureKind::ResponseIncomplete:
        return ForwardingMessages::FAILURE_KIND_RESPONSE_INCOMPLETE;
    case UpstreamFailureKind::ResponseTooLarge:
        return ForwardingMessages::FAILURE_KIND_RESPONSE_TOO_LARGE;
    case UpstreamFailureKind::ResponseMismatched:
        return ForwardingMessages::FAILURE_KIND_RESPONSE_MISMATCHED;
    }
    return ForwardingMessages::FAILURE_KIND_CONNECTION_LOST;
}

UpstreamFailureKind decodeKind(ForwardingMessages::FailureKind kind)
{
    switch (kind) {
    case ForwardingMessages::FAILURE_KIND_CONNECT_FAILED:
        return UpstreamFailureKind::ConnectFailed;
    case ForwardingMessages::FAILURE_KIND_TIMED_OUT:
        return UpstreamFailureKind::TimedOut;
    case ForwardingMessages::FAILURE_KIND_RESPONSE_INCOMPLETE:
        return UpstreamFailureKind::ResponseIncomplete;
    case ForwardingMessages::FAILURE_KIND_RESPONSE_TOO_LARGE:
        return UpstreamFailureKind::ResponseTooLarge;
    case ForwardingMessages::FAILURE_KIND_RESPONSE_MISMATCHED:
        return UpstreamFailureKind::ResponseMismatched;
    case ForwardingMessages::FAILURE_KIND_CALLER_DISCONNECTED:
        return UpstreamFailureKind::CallerDisconnected;
    default:
        return UpstreamFailureKind::ConnectionLost;
    }
}

void encodeHeaders(const HttpHeaders &headers, google::protobuf::RepeatedPtrField<ForwardingMessages::Header> &encoded)
{
    for (const HttpHeader &header : headers) {
        ForwardingMessages::Header &added = *encoded.Add();
        added.set_name(header.name);
        added.set_value(header.value);
    }
}

HttpHeaders decodeHeaders(const google::protobuf::RepeatedPtrField<ForwardingMessages::Header> &encoded)
{
    HttpHeaders headers;
    for (const ForwardingMessages::Header &header : encoded) {
        headers.push_back({header.name(), header.value()});
    }
    return headers;
}

} // namespace

ForwardingMessages::ForwardedRequest encodeForwardedRequest(const UpstreamCall &call, const std::string &vm, SteadyTime now)
{
    ForwardingMessages::ForwardedRequest request;
    request.set_instance(call.instance);
    request.set_host(call.host);
    request.set_port(call.port);
    request.set_vm(vm);
    request.set_method(call.request.method);
    request.set_target(call.request.target);
    encodeHeaders(call.request.headers, *request.mutable_headers());
    request.set_body(call.request.body);
    request.set_idempotent(call.idempotent);
    request.set_request_id(call.requestId);
    request.set_deadline_header(call.deadlineHeader);
    request.set_deadline_milliseconds(millisecondsUntil(call.deadline, now));
    // The first VM alone decides whether the try ends before its deadline, and closes the connection if so. On a new connection, the other VM needn't
    // find out whether it is stale.
    request.set_may_retry(false);
    request.set_new_connection(true);
    return request;
}

UpstreamCall decodeForwardedRequest(const ForwardingMessages::ForwardedRequest &request, SteadyTime now)
{
    UpstreamCall call;
    call.instance = request.instance();
    call.host = request.host();
    call.port = static_cast<std::uint16_t>(request.port());
    call.request.method = request.method();
    call.request.target = request.target();
    call.request.headers = decodeHeaders(request.headers());
    call.request.body = request.body();
    call.idempotent = request.idempotent();
    call.requestId = request.request_id();
    call.deadlineHeader = request.deadline_header();
    call.deadline = now + std::chrono::milliseconds(request.deadline_milliseconds());
    if (request.try_milliseconds() > 0) {
        call.tryDeadline = now + std::chrono::milliseconds(request.try_milliseconds());
    }
    call.mayRetry = request.may_retry();
    call.newConnection = request.new_connection();
    return call;
}

ForwardingMessages::ForwardedResult encodeForwardedResult(const UpstreamResult &result)
{
    ForwardingMessages::ForwardedResult encoded;
    if (result.failure) {
        encoded.set_failure(encodeKind(result.failure->kind));
        encoded.set_may_have_sent(result.failure->mayHaveSent);
        encoded.set_stale_connection(result.failure->staleConnection);
        return encoded;
    }
    encoded.set_status(static_cast<std::uint32_t>(result.response->status));
    encodeHeaders(result.response->headers, *encoded.mutable_headers());
    encoded.set_body(result.response->body);
    return encoded;
}

UpstreamResult decodeForwardedResult(ForwardingMessages::ForwardedResult encoded)
{
    UpstreamResult result;
    if (encoded.failure() != ForwardingMessages::FAILURE_KIND_NONE) {
        result.failure = UpstreamFailure{decodeKind(encoded.failure()), encoded.may_have_sent(), encoded.stale_connection()};
        // The other VM reports the instance as unreachable if its own path works.
        result.failure->isPathFailure = result.failure->kind == UpstreamFailureKind::ConnectFailed;
        return result;
    }
    result.response = HttpResponse{static_cast<int>(encoded.status()), decodeHeaders(encoded.headers()), std::move(*encoded.mutable_body())};
    return result;
}

} // namespace Hyssophall
