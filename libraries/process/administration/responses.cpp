#include "process/administration/responses.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace Hyssophall::Administration {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

HttpResponse unavailableResponse(const ControlUnavailable &error)
{
    if (error.reason == ControlUnavailable::Reason::NoQuorum) {
        return errorResponse(503, "no_quorum", "the control group has no quorum; the change was not accepted");
    }
    return errorResponse(504, "outcome_unknown", "the change may or may not have been accepted; resend it with the same change_id");
}

} // namespace

HttpResponse jsonResponse(int status, const json &object)
{
    // Values from other VMs may be invalid UTF-8. Replaces such characters, because dump() would throw otherwise and the caller would get no data.
    return {status, object.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

HttpResponse errorResponse(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status, {{"error", {{"code", code}, {"message", message}}}});
}

HttpResponse invalidChangeResponse(const InvalidChange &fault)
{
    const json error = {
        {"code", "invalid_change"},
        {"message", fault.field + " must hold " + fault.expected},
        {"field", fault.field},
        {"expected", fault.expected},
    };
    return jsonResponse(422, {{"error", error}});
}

HttpResponse outcomeResponse(const ControlMessages::ChangeOutcome &outcome, const json &details)
{
    switch (outcome.result()) {
    case ControlMessages::ChangeOutcome::RESULT_ACCEPTED: {
        json accepted = {{"result", "accepted"}, {"change_id", outcome.change_id()}, {"version", outcome.version()}};
        accepted.update(details);
        return jsonResponse(200, accepted);
    }
    case ControlMessages::ChangeOutcome::RESULT_CONFLICT: {
        const json error = {{"code", "conflict"}, {"message", "another version is in force"}, {"version", outcome.version()}};
        return jsonResponse(409, {{"error", error}});
    }
    case ControlMessages::ChangeOutcome::RESULT_INVALID:
        return invalidChangeResponse(InvalidChange{outcome.field(), outcome.expected()});
    case ControlMessages::ChangeOutcome::RESULT_ROSTER_UNSETTLED:
        return errorResponse(503, "roster_unsettled", "the last change of the roster isn't in force on all VMs yet; repeat the change in a few seconds");
    default:
        return unavailableResponse(ControlUnavailable{ControlUnavailable::Reason::Unknown});
    }
}

json progressJson(const Progress &progress)
{
    return {
        {"in_force", progress.inForce},
        {"members", progress.members},
        {"confirmed", progress.confirmed},
        {"expired", progress.expired},
        {"pending", progress.pending},
    };
}

HttpResponse responseOf(const std::function<leaf::result<HttpResponse>()> &handler)
{
    return leaf::try_handle_all(
        handler,
        [](const InvalidChange &fault) { return invalidChangeResponse(fault); },
        [](const ControlUnavailable &error) { return unavailableResponse(error); },
        []() { return errorResponse(500, "internal", "the request failed in an unexpected way"); });
}

} // namespace Hyssophall::Administration
