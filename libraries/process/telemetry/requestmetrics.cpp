#include "process/telemetry/requestmetrics.h"

#include "process/telemetry/metricregistry.h"

#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace {

// In seconds; fine around the target of 6.2 ms at the 99th percentile.
const std::vector<double> addedBuckets{0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.004, 0.0062, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 10.0};

// In seconds; routes' limits are between 1.5 and 15 s.
const std::vector<double> requestBuckets{0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 15.0};

constexpr const char *requestsName = "hyssophall_requests_total";
constexpr const char *refusalsName = "hyssophall_refusals_total";
constexpr const char *triesName = "hyssophall_upstream_tries_total";
constexpr const char *retriesName = "hyssophall_retries_total";
constexpr const char *addedName = "hyssophall_added_seconds";
constexpr const char *durationName = "hyssophall_request_seconds";
constexpr const char *tryDurationName = "hyssophall_upstream_try_seconds";

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
    Families()
    {
        this->registry.addCounter(requestsName, "Finished requests by route, status and outcome.");
        this->registry.addCounter(refusalsName, "Refused requests by code and team.");
        this->registry.addCounter(triesName, "Tries on upstreams by outcome.");
        this->registry.addCounter(retriesName, "Tries after the first of a request.");
        this->registry.addHistogram(addedName, "Time that answered requests spent outside of tries on upstreams.", addedBuckets);
        this->registry.addHistogram(durationName, "Time from the arrival of a request to its answer, by route.", requestBuckets);
        this->registry.addHistogram(tryDurationName, "Time of tries on upstreams, by service.", requestBuckets);
    }

    MetricRegistry registry;
    LabelLimit routes{RequestMetrics::maximumRoutes};
    LabelLimit services{RequestMetrics::maximumRoutes};
    LabelLimit teams{RequestMetrics::maximumTeams};
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
    const std::string route = metrics.routes.limited(record.route);
    metrics.registry.increment(requestsName, {{"route", route}, {"code", std::to_string(record.status)}, {"outcome", outcome}});
    metrics.registry.observe(durationName, {{"route", route}}, std::chrono::duration<double>(record.duration).count());
    if (record.refusal) {
        metrics.registry.increment(refusalsName, {{"code", std::string(refusalName(record.refusal->code))}, {"team", metrics.teams.limited(record.team)}});
    } else {
        metrics.registry.observe(addedName, {}, std::chrono::duration<double>(record.duration - record.upstreamDuration).count());
    }
    const std::string service = metrics.services.limited(record.service);
    for (const TryRecord &tried : record.tries) {
        metrics.registry.increment(triesName, {{"outcome", std::string(tryOutcomeName(tried.outcome))}});
        metrics.registry.observe(tryDurationName, {{"service", service}}, std::chrono::duration<double>(tried.duration).count());
    }
    if (record.tries.size() > 1) {
        metrics.registry.increment(retriesName, {}, static_cast<double>(record.tries.size() - 1));
    }
}

void RequestMetrics::addGauge(const std::string &name, const std::string &help, std::function<double()> value)
{
    this->families->registry.addGauge(name, help, std::move(value));
}

std::string RequestMetrics::text()
{
    return this->families->registry.text();
}

} // namespace Hyssophall
