#pragma once

#include "process/administration/httpmessage.h"
#include "process/administration/progresstracker.h"
#include "process/control/changeproposer.h"
#include "version/catalogue.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace Hyssophall::Administration {

HttpResponse jsonResponse(int status, const nlohmann::json &json);

/// A response with the body {"error":{"code","message"}}.
HttpResponse errorResponse(int status, const std::string &code, const std::string &message);

/// Status 422 with the invalid field and the value that is expected there.
HttpResponse invalidChangeResponse(const InvalidChange &fault);

/// The response to a decision of the control group: 200 with the fields of @p details if the change was accepted, 409 with the version in force on a
/// conflict, 422 if it is invalid, 503 while the last change of the roster isn't in force on all VMs, 504 if the outcome is unknown.
HttpResponse outcomeResponse(const ControlMessages::ChangeOutcome &outcome, const nlohmann::json &details);

/// An object with the fields "in_force", "members", "confirmed", "expired" and "pending".
nlohmann::json progressJson(const Progress &progress);

/// Calls a handler and converts its errors to responses: InvalidChange to 422, ControlUnavailable to 503 (the change was not accepted) or 504 (the outcome
/// is unknown), all others to 500.
HttpResponse responseOf(const std::function<boost::leaf::result<HttpResponse>()> &handler);

} // namespace Hyssophall::Administration
