#include "process/telemetry/requestmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace {

// In seconds; fine around the target of 6.2 ms at the 99th percentile.
const prometheus::Histogram::BucketBoundaries addedBuckets{0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.004, 0.0062, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 10.0};

/// Lets through a limited number of label values and replaces all others by one.
class LabelLimit
{
public:
    explicit LabelLimit(std::size_t maximum)
        : maximum(maximum)
    {
    }

    std::string limited(const std::string &value)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->known.count(value) > 0) {
            return value;
        }
        if (this->known.size() >= this->maximum) {
            return "(other)";
        }
        this->known.insert(value);
        return value;
    }

private:
    const std::size_t maximum;
    std::mutex mutex;
    std::set<std::string> known;
};

} // namespace

std::string_view tryOutcomeName(TryOutcome outcome)
{
    switch (outcome) {
    case TryOutcome::Answered:
        return "answered";
    case TryOutcome::ServerError:
        return "server_error";
    case TryOutcome::Shed:
        return "shed";
    case TryOutcome::ConnectFailed:
        return "connect_failed";
    case TryOutcome::WrongInstance:
        return "wrong_instance";
    case TryOutcome::TimedOut:
        return "timed_out";
    case TryOutcome::ConnectionLost:
        return "connection_lost";
    case TryOutcome::AnswerIncomplete:
        return "answer_incomplete";
    case TryOutcome::Neutral:
        break;
    }
    return "neutral";
}

class RequestMetrics::Families
{
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests
        = prometheus::BuildCounter().Name("hyssophall_requests_total").Help("Finished requests by route, status and outcome.").Register(this->registry);
    prometheus::Family<prometheus::Counter> &refusals
        = prometheus::BuildCounter().Name("hyssophall_refusals_total").Help("Refused requests by code and team.").Register(this->registry);
    prometheus::Family<prometheus::Counter> &tries
        = prometheus::BuildCounter().Name("hyssophall_upstream_tries_total").Help("Tries on upstreams by outcome.").Register(this->registry);
    prometheus::Counter &retries
        = prometheus::BuildCounter().Name("hyssophall_retries_total").Help("Tries after the first of a request.").Register(this->registry).Add({});
    prometheus::Histogram &added = prometheus::BuildHistogram()
                                       .Name("hyssophall_added_seconds")
                                       .Help("Time that answered requests spent outside of tries on upstreams.")
                                       .Register(this->registry)
                                       .Add({}, addedBuckets);
    LabelLimit routes{RequestMetrics::maximumRoutes};
    LabelLimit teams{RequestMetrics::maximumTeams};
    std::mutex gaugeMutex;
    std::vector<std::pair<prometheus::Gauge *, std::function<double()>>> gauges;
};

RequestMetrics::RequestMetrics()
    : families(std::make_unique<Families>())
{
}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::requestFinished(const RequestRecord &record)
{
    Families &metrics = *this->families;
    const std::string outcome(record.refusal ? outcomeName(record.refusal->outcome) : "answered");
    metrics.requests.Add({{"route", metrics.routes.limited(record.route)}, {"code", std::to_string(record.status)}, {"outcome", outcome}}).Increment();
    if (record.refusal) {
        metrics.refusals.Add({{"code", std::string(refusalName(record.refusal->code))}, {"team", metrics.teams.limited(record.team)}}).Increment();
    } else {
        metrics.added.Observe(std::chrono::duration<double>(record.duration - record.upstreamDuration).count());
    }
    for (const TryRecord &tried : record.tries) {
        metrics.tries.Add({{"outcome", std::string(tryOutcomeName(tried.outcome))}}).Increment();
    }
    if (record.tries.size() > 1) {
        metrics.retries.Increment(static_cast<double>(record.tries.size() - 1));
    }
}

void RequestMetrics::addGauge(const std::string &name, const std::string &help, std::function<double()> value)
{
    prometheus::Gauge &gauge = prometheus::BuildGauge().Name(name).Help(help).Register(this->families->registry).Add({});
    std::lock_guard<std::mutex> lock(this->families->gaugeMutex);
    this->families->gauges.emplace_back(&gauge, std::move(value));
}

std::string RequestMetrics::text()
{
    {
        std::lock_guard<std::mutex> lock(this->families->gaugeMutex);
        for (const std::pair<prometheus::Gauge *, std::function<double()>> &gauge : this->families->gauges) {
            gauge.first->Set(gauge.second());
        }
    }
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, this->families->registry.Collect());
    return text.str();
}

} // namespace Hyssophall
