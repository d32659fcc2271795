#include "request/callermessage.h"

#include <nlohmann/json.hpp>

namespace Hyssophall {

namespace {

std::string_view refusalMessage(const Refusal &refusal)
{
    return refusal.outcome == RequestOutcome::NotRun ? "The request was not run." : "It is not known whether the request was run.";
}

} // namespace

CallerResponse refusalResponse(const Refusal &refusal)
{
    const std::string code(refusalName(refusal.code));
    const std::string outcome(outcomeName(refusal.outcome));
    CallerResponse response;
    response.refusal = refusal;
    response.http.status = refusalStatus(refusal.code);
    response.http.headers = {{"Content-Type", "application/json"}, {"Hyssophall-Refusal", code}, {"Hyssophall-Outcome", outcome}};
    if (refusal.retryAfter.count() > 0) {
        const std::chrono::seconds seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter);
        response.http.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    const nlohmann::json body{{"error", {{"code", code}, {"outcome", outcome}, {"message", refusalMessage(refusal)}}}};
    response.http.body = body.dump();
    return response;
}

} // namespace Hyssophall
