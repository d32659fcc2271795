#pragma once

#include "connection/upstreamsender.h"
#include "forwarding.pb.h"

#include <string>

namespace Hyssophall {

namespace ForwardingMessages = hyssophall::forwarding::v1;

/// Encodes a try for the VM that will send it. @p vm is the sending VM; times are relative to @p now.
ForwardingMessages::ForwardedRequest encodeForwardedRequest(const UpstreamCall &call, const std::string &vm, SteadyTime now);

/// The try as the receiving VM sends it. Its hooks are empty.
UpstreamCall decodeForwardedRequest(const ForwardingMessages::ForwardedRequest &request, SteadyTime now);

/// A result without a response must not be of the kinds RejectedBeforeSend or NoPath, which the receiving VM doesn't produce.
ForwardingMessages::ForwardedResult encodeForwardedResult(const UpstreamResult &result);

/// The result that the receiving VM had; a failure to connect counts as one of that VM. Must not be NOT_ACCEPTED.
UpstreamResult decodeForwardedResult(ForwardingMessages::ForwardedResult result);

} // namespace Hyssophall
