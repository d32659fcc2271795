#pragma once

#include "request/callermessage.h"

#include <ulfius.h>

namespace Hyssophall {

/// The request that ulfius received, with the present time as its arrival.
CallerRequest callerRequestOf(const _u_request &request);

/// Hands an answer to ulfius. @p method is the request's.
void writeAnswer(const HttpAnswer &answer, const std::string &method, _u_response &response);

} // namespace Hyssophall
