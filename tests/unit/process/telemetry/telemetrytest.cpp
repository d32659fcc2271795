#include "process/telemetry/jsonlogsink.h"
#include "process/telemetry/linewriter.h"
#include "process/telemetry/requestlog.h"
#include "process/telemetry/requestmetrics.h"
#include "process/telemetry/spanwriter.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <array>
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
    record.tries.push_back({"00000000000000bb", "one", "", {}, std::chrono::milliseconds(5), TryOutcome::ConnectionLost});
    record.tries.push_back({"00000000000000cc", "two", "", {}, std::chrono::milliseconds(3), TryOutcome::Answered, 200});
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

// Guards against requests that wait for whoever reads the log, and against lines that are lost without a word.
CATCH_TEST_CASE("A log that nobody reads is written without waiting, and tells what it dropped", "[telemetry]")
{
    std::array<int, 2> ends{};
    CATCH_REQUIRE(pipe(ends.data()) == 0);
    std::uint64_t dropped = 0;
    {
        LineWriter::Options options;
        options.descriptor = ends[1];
        options.capacity = 50;
        options.eventsPerSecond = 100000;
        options.successesPerSecond = 10;
        options.clock = std::chrono::steady_clock::now;
        options.droppedLine = [](LineKind, std::uint64_t count) { return "dropped " + std::to_string(count); };
        LineWriter writer(options);
        const SteadyTime began = std::chrono::steady_clock::now();
        for (int count = 0; count < 10000; ++count) {
            writer.write(LineKind::Event, std::string(200, 'x'));
        }
        CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
        dropped = writer.droppedLines();
        for (int count = 0; count < 20; ++count) {
            writer.write(LineKind::Success, "fine");
        }
        CATCH_CHECK(writer.droppedLines() >= dropped + 10);
    }
    CATCH_CHECK(dropped > 0);
    close(ends[0]);
    close(ends[1]);
}

// Guards against a failed request whose cause can't be found from its id.
CATCH_TEST_CASE("The line of a request tells its id, its tries with their grounds, and why it ended", "[telemetry]")
{
    nlohmann::json line;
    LineKind kind = LineKind::Event;
    RequestLog log([&line, &kind](LineKind writtenKind, nlohmann::json fields) {
        kind = writtenKind;
        line = std::move(fields);
    });
    RequestRecord record;
    record.requestId = "9c41d07be2a35f68";
    record.status = 502;
    record.catalogueVersion = 7;
    record.refusal = Refusal{RefusalCode::UpstreamFailed, RequestOutcome::Unknown, std::chrono::milliseconds(0)};
    record.retryStopReason = "the request may have run and can't be repeated";
    record.poisonDetails = "i-1 round 1 age_ms=20";
    TryRecord tried;
    tried.instance = "i-1";
    tried.selectionReason = "gray=0.04 success_age_ms=120";
    tried.outcome = TryOutcome::ConnectionLost;
    record.tries.push_back(tried);
    log.requestFinished(record);
    CATCH_CHECK(kind == LineKind::Failure);
    CATCH_CHECK(line["id"] == "9c41d07be2a35f68");
    CATCH_CHECK(line["catalogue"] == 7);
    CATCH_CHECK(line["outcome"] == "unknown");
    CATCH_CHECK(line["tries"][0]["chosen_for"] == "gray=0.04 success_age_ms=120");
    CATCH_CHECK(line["tries"][0]["outcome"] == "connection_lost");
    CATCH_CHECK(line["ended_for"] == record.retryStopReason);
    CATCH_CHECK(line["lost_connections"] == record.poisonDetails);
    RequestRecord good;
    good.status = 200;
    log.requestFinished(good);
    CATCH_CHECK(kind == LineKind::Success);
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
             "# TYPE hyssophall_request_seconds histogram",
             "hyssophall_request_seconds_count{route=\"read\"} 1",
             "hyssophall_upstream_try_seconds_bucket{le=\"+Inf\",service=\"service\"} 2",
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
