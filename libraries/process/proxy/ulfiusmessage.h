#pragma once

#include "request/callermessage.h"

#include <ulfius.h>

namespace Hyssophall {

/// Converts a request received by ulfius; its arrival time is the current time.
CallerRequest toCallerRequest(const _u_request &request);

/// Copies a ulfiusResponse to ulfius. @p method is the method of the request.
void writeResponse(const HttpResponse &response, const std::string &method, _u_response &ulfiusResponse);

} // namespace Hyssophall
