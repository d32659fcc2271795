#include "process/telemetry/requestlog.h"

#include "process/telemetry/requestmetrics.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Hyssophall {

namespace {

constexpr int firstError = 400;

std::int64_t milliseconds(std::chrono::microseconds duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

nlohmann::json triesOf(const RequestRecord &record)
{
    nlohmann::json tries = nlohmann::json::array();
    for (const TryRecord &tried : record.tries) {
        tries.push_back({{"instance", tried.instance},
            {"chosen_for", tried.selectionReason},
            {"outcome", tryOutcomeName(tried.outcome)},
            {"status", tried.status},
            {"reused_connection", tried.reusedConnection},
            {"ms", milliseconds(tried.duration)}});
        if (!tried.forwardedThrough.empty()) {
            tries.back()["through"] = tried.forwardedThrough;
        }
    }
    return tries;
}

LineKind kindOf(const RequestRecord &record)
{
    const bool isFailure = record.refusal || record.status >= firstError || record.tries.size() > 1;
    return isFailure ? LineKind::Failure : LineKind::Success;
}

} // namespace

RequestLog::RequestLog(Write write)
    : write(std::move(write))
{
}

void RequestLog::requestFinished(const RequestRecord &record)
{
    nlohmann::json line{{"event", "request"},
        {"id", record.requestId},
        {"trace", record.trace.traceId},
        {"method", record.method},
        {"route", record.route},
        {"service", record.service},
        {"team", record.team},
        {"catalogue", record.catalogueVersion},
        {"limit_ms", record.timeout.count()},
        {"status", record.status},
        {"ms", milliseconds(record.duration)},
        {"tries", triesOf(record)}};
    if (record.refusal) {
        line["refusal"] = refusalName(record.refusal->code);
        line["outcome"] = outcomeName(record.refusal->outcome);
        line["retry_after_ms"] = record.refusal->retryAfter.count();
    }
    if (!record.rateDetails.empty()) {
        line["rate"] = record.rateDetails;
    }
    if (!record.poisonDetails.empty()) {
        line["lost_connections"] = record.poisonDetails;
    }
    if (!record.retryStopReason.empty()) {
        line["ended_for"] = record.retryStopReason;
    }
    this->write(kindOf(record), std::move(line));
}

} // namespace Hyssophall
