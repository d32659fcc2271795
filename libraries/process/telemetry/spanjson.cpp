#include "process/telemetry/spanjson.h"

#include "process/telemetry/requestmetrics.h"

#include <nlohmann/json.hpp>

namespace Hyssophall {

namespace {

// The numbers of OTLP's SpanKind and StatusCode.
constexpr int serverKind = 2;
constexpr int clientKind = 3;
constexpr int errorStatus = 2;

nlohmann::json attribute(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

// OTLP's JSON form writes 64-bit integers as strings.
nlohmann::json attribute(const std::string &key, int value)
{
    return {{"key", key}, {"value", {{"intValue", std::to_string(value)}}}};
}

std::string nanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

nlohmann::json span(const std::string &traceId,
    const std::string &spanId,
    const std::string &parentSpanId,
    std::chrono::system_clock::time_point began,
    std::chrono::microseconds duration)
{
    nlohmann::json result{
        {"traceId", traceId}, {"spanId", spanId}, {"startTimeUnixNano", nanoseconds(began)}, {"endTimeUnixNano", nanoseconds(began + duration)}};
    if (!parentSpanId.empty()) {
        result["parentSpanId"] = parentSpanId;
    }
    return result;
}

nlohmann::json serverSpan(const RequestRecord &record)
{
    nlohmann::json result = span(record.trace.traceId, record.trace.spanId, record.trace.parentSpanId, record.startTime, record.duration);
    result["name"] = record.route.empty() ? record.method : record.method + " " + record.route;
    result["kind"] = serverKind;
    result["attributes"] = {attribute("http.request.method", record.method),
        attribute("url.path", record.path),
        attribute("http.response.status_code", record.status),
        attribute("hyssophall.route", record.route),
        attribute("hyssophall.team", record.team)};
    if (record.refusal) {
        result["attributes"].push_back(attribute("hyssophall.refusal", std::string(refusalName(record.refusal->code))));
        result["attributes"].push_back(attribute("hyssophall.outcome", std::string(outcomeName(record.refusal->outcome))));
    }
    if (record.status >= 500) {
        result["status"] = {{"code", errorStatus}};
    }
    return result;
}

nlohmann::json clientSpan(const RequestRecord &record, const TryRecord &tried)
{
    nlohmann::json result = span(record.trace.traceId, tried.spanId, record.trace.spanId, tried.startTime, tried.duration);
    result["name"] = record.method + " " + record.service;
    result["kind"] = clientKind;
    result["attributes"] = {attribute("hyssophall.service", record.service),
        attribute("hyssophall.instance", tried.instance),
        attribute("hyssophall.try_outcome", std::string(tryOutcomeName(tried.outcome))),
        attribute("http.response.status_code", tried.status)};
    if (tried.outcome != TryOutcome::Answered) {
        result["status"] = {{"code", errorStatus}};
    }
    return result;
}

} // namespace

std::string spanLine(const RequestRecord &record, const std::string &vm)
{
    nlohmann::json spans = nlohmann::json::array({serverSpan(record)});
    for (const TryRecord &tried : record.tries) {
        spans.push_back(clientSpan(record, tried));
    }
    const nlohmann::json resource{{"attributes", nlohmann::json::array({attribute("service.name", "hyssophalld"), attribute("service.instance.id", vm)})}};
    nlohmann::json scope{{"scope", {{"name", "hyssophall"}}}, {"spans", std::move(spans)}};
    nlohmann::json line;
    line["resourceSpans"] = nlohmann::json::array({{{"resource", resource}, {"scopeSpans", nlohmann::json::array({std::move(scope)})}}});
    // A path may hold bytes that aren't UTF-8.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Hyssophall
