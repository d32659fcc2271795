#include "process/forwarding/forwardingclient.h"

#include "process/forwarding/forwardedmessages.h"
#include "process/forwarding/forwardingservice.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

/// The other VM ends the try at its deadline; its result needs some time to arrive.
constexpr std::chrono::milliseconds resultDelay{50};
/// Room for the headers of the instance's response and the encoding.
constexpr std::size_t headerBytes = 128 * 1024;
constexpr int okStatus = 200;

UpstreamClient::Options clientOptions(const ForwardingClient::Options &options)
{
    UpstreamClient::Options clientOptions;
    clientOptions.maximumAnswerBytes = options.maximumAnswerBytes + headerBytes;
    clientOptions.connectTimeout = options.connectTimeout;
    return clientOptions;
}

ForwardingClient::Result lostResult(UpstreamFailureKind kind)
{
    ForwardingClient::Result result;
    result.acceptance = ForwardingClient::Acceptance::Accepted;
    result.upstream.failure = UpstreamFailure{kind, true, false};
    result.upstream.failure->isPathFailure = true;
    return result;
}

} // namespace

ForwardingClient::ForwardingClient(const Options &options)
    : vm(options.vm)
    , fleetSecret(options.fleetSecret)
    , client(clientOptions(options))
{
}

ForwardingClient::Result ForwardingClient::send(const std::string &host, std::uint16_t port, const UpstreamCall &call)
{
    UpstreamCall post;
    post.host = host;
    post.port = port;
    post.request = {"POST", ForwardingService::target, {{ForwardingService::credentialHeader, this->fleetSecret}}, ""};
    post.request.body = encodeForwardedRequest(call, this->vm, std::chrono::steady_clock::now()).SerializeAsString();
    // Each request has a connection of its own: one that was open before could have gone silent, and the request would then count as sent.
    post.newConnection = true;
    post.idempotent = call.idempotent;
    post.mayRetry = call.mayRetry;
    post.deadline = call.deadline + resultDelay;
    post.tryDeadline = call.tryDeadline;
    post.mayBeAborted = call.mayBeAborted;
    post.mayBeSent = call.mayBeSent;
    post.isCallerDisconnected = call.isCallerDisconnected;
    UpstreamResult result = this->client.send(post);
    if (result.failure) {
        if (result.failure->kind == UpstreamFailureKind::ConnectFailed) {
            return {};
        }
        if (!result.failure->mayHaveSent) {
            return {Acceptance::Accepted, std::move(result)};
        }
        LOG(WARNING) << "The VM at " << host << " returned no result of request " << call.requestId << ", which an instance may have run";
        return lostResult(result.failure->kind);
    }
    ForwardingMessages::ForwardedResult forwarded;
    if (result.response->status != okStatus || !forwarded.ParseFromString(result.response->body)) {
        LOG(WARNING) << "The VM at " << host << " returned status " << result.response->status << " for request " << call.requestId;
        return ForwardingService::isRefusedUnread(result.response->status) ? Result() : lostResult(UpstreamFailureKind::ResponseIncomplete);
    }
    if (forwarded.failure() == ForwardingMessages::FAILURE_KIND_NOT_ACCEPTED) {
        return {};
    }
    return {Acceptance::Accepted, decodeForwardedResult(std::move(forwarded))};
}

} // namespace Hyssophall
