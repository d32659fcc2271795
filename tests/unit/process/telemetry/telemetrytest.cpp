#include "process/telemetry/jsonlogsink.h"
#include "process/telemetry/requestmetrics.h"
#include "process/telemetry/spanwriter.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <sstream>
#include <unistd.h>

using namespace Hyssophall;

namespace {

std::string contentOf(const std::string &file)
{
    std::ostringstream content;
    content << std::ifstream(file).rdbuf();
    return content.str();
}

std::string temporaryFile(const std::string &name)
{
    return std::filesystem::temp_directory_path() / ("hyssophall-" + name + "-" + std::to_string(getpid()));
}

RequestRecord retriedRecord()
{
    RequestRecord record;
    record.trace = {"0af7651916cd43dd8448eb211c80319c", "00000000000000aa", "b7ad6b7169203331"};
    record.method = "GET";
    record.path = "/read/\xff";
    record.route = "read";
    record.service = "service";
    record.team = "red";
    record.duration = std::chrono::milliseconds(9);
    record.upstreamDuration = std::chrono::milliseconds(8);
    record.status = 200;
    record.tries.push_back({"00000000000000bb", "one", {}, std::chrono::milliseconds(5), TryOutcome::ConnectionLost});
    record.tries.push_back({"00000000000000cc", "two", {}, std::chrono::milliseconds(3), TryOutcome::Answered, 200});
    return record;
}

template<typename Created>
std::unique_ptr<Created> created(const std::function<boost::leaf::result<std::unique_ptr<Created>>()> &create)
{
    return boost::leaf::try_handle_all(create, [] { return std::unique_ptr<Created>(); });
}

} // namespace

CATCH_TEST_CASE("Each hop and each try has a span below that of the caller", "[telemetry][trace]")
{
    const std::string file = temporaryFile("spans");
    std::unique_ptr<SpanWriter> writer = created<SpanWriter>([&file] { return SpanWriter::create(file, "vm-1"); });
    CATCH_REQUIRE(writer);
    writer->requestFinished(retriedRecord());
    writer.reset();
    const nlohmann::json line = nlohmann::json::parse(contentOf(file));
    std::filesystem::remove(file);
    const nlohmann::json spans = line["resourceSpans"][0]["scopeSpans"][0]["spans"];
    CATCH_REQUIRE(spans.size() == 3);
    CATCH_CHECK(spans[0]["parentSpanId"] == "b7ad6b7169203331");
    CATCH_CHECK(spans[1]["parentSpanId"] == spans[0]["spanId"]);
    CATCH_CHECK(spans[2]["parentSpanId"] == spans[0]["spanId"]);
    CATCH_CHECK(spans[2]["traceId"] == spans[0]["traceId"]);
    CATCH_CHECK(spans[1]["status"]["code"] == 2);
    CATCH_CHECK(!spans[2].contains("status"));
}

CATCH_TEST_CASE("A log entry is one JSON line whatever its message holds", "[telemetry]")
{
    const std::string file = temporaryFile("log");
    std::unique_ptr<JsonLogSink> sink = created<JsonLogSink>([&file] { return JsonLogSink::create(file, "vm-1"); });
    CATCH_REQUIRE(sink);
    LOG(WARNING) << "line one\n\"two\" \xff";
    sink.reset();
    const std::string content = contentOf(file);
    std::filesystem::remove(file);
    CATCH_CHECK(content.find('\n') == content.size() - 1);
    const nlohmann::json line = nlohmann::json::parse(content);
    CATCH_CHECK(line["severity"] == "WARNING");
    CATCH_CHECK(line["vm"] == "vm-1");
}

CATCH_TEST_CASE("Metrics count requests, refusals, tries and retries", "[telemetry]")
{
    RequestMetrics metrics;
    metrics.addGauge("hyssophall_pools", "Pools.", [] { return 7.0; });
    metrics.requestFinished(retriedRecord());
    RequestRecord refused;
    refused.status = 429;
    refused.team = "red";
    refused.refusal = Refusal{RefusalCode::RateLimited};
    metrics.requestFinished(refused);
    const std::string text = metrics.text();
    for (const std::string line : {"hyssophall_requests_total{code=\"200\",outcome=\"answered\",route=\"read\"} 1",
             "hyssophall_refusals_total{code=\"rate_limited\",team=\"red\"} 1",
             "hyssophall_upstream_tries_total{outcome=\"connection_lost\"} 1",
             "hyssophall_retries_total 1",
             "hyssophall_added_seconds_bucket{le=\"0.001\"} 1",
             "hyssophall_pools 7"}) {
        CATCH_INFO(line);
        CATCH_CHECK(text.find(line) != std::string::npos);
    }
}

CATCH_TEST_CASE("The number of label values is bounded", "[telemetry]")
{
    // Guards against metrics that grow with every team of the catalogue.
    RequestMetrics metrics;
    RequestRecord refused;
    refused.refusal = Refusal{RefusalCode::RateLimited};
    for (std::size_t team = 0; team < RequestMetrics::maximumTeams + 5; ++team) {
        refused.team = std::to_string(team);
        metrics.requestFinished(refused);
    }
    CATCH_CHECK(metrics.text().find("{code=\"rate_limited\",team=\"(other)\"} 5") != std::string::npos);
}
