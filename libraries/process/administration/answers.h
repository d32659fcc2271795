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

HttpResponse jsonAnswer(int status, const nlohmann::json &json);

/// {"error":{"code","message"}}.
HttpResponse errorAnswer(int status, const std::string &code, const std::string &message);

/// 422 with the field and what it must hold.
HttpResponse invalidAnswer(const InvalidChange &fault);

/// The answer to a decision of the control group: 200 with @p details, 409 with the version in force, or 422.
HttpResponse outcomeAnswer(const ControlMessages::ChangeOutcome &outcome, const nlohmann::json &details);

/// {"in_force","members","confirmed","expired","pending"}.
nlohmann::json progressJson(const Progress &progress);

/// Runs a handler and turns its errors into answers: InvalidChange is 422, ControlUnavailable 503 (not accepted) or 504 (unknown).
HttpResponse answerOf(const std::function<boost::leaf::result<HttpResponse>()> &handler);

} // namespace Hyssophall::Administration
