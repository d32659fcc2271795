#include "daemon.h"

#include "fleetparts.h"
#include "process/proxy/shutdownsequence.h"
#include "relayparts.h"

#include "systemrandom.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace Hyssophall {

namespace {

/// How long a stopping process finishes the refusals that it is writing.
constexpr std::chrono::milliseconds lastRefusalsTime{100};

UpstreamClient::Options clientOptions(const Settings &settings)
{
    UpstreamClient::Options options;
    options.maximumAnswerBytes = settings.limits.maximumAnswerBytes;
    options.bufferedAnswerBytes = settings.limits.bufferedAnswerBytes;
    options.connectTimeout = settings.limits.connectTimeout;
    return options;
}

RequestHandler::Options requestHandlerOptions(const Settings &settings)
{
    RequestHandler::Options options;
    options.admission.defaultTimeout = settings.limits.defaultTimeout;
    options.admission.headers = settings.headers;
    options.rateWait = settings.limits.rateWait;
    options.ownerWait = settings.limits.ownerWait;
    options.maximumClaimBodyBytes = settings.claims.maximumBodyBytes;
    return options;
}

} // namespace

boost::leaf::result<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings, JsonLogSink &log)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings, log));
    boost::leaf::result<void> started = daemon->start();
    if (!started) {
        return started.error();
    }
    return daemon;
}

Daemon::Daemon(const Settings &settings, JsonLogSink &log)
    : settings(settings)
    , requestLog([&log](LineKind kind, nlohmann::json fields) { log.write(kind, std::move(fields)); })
    , metrics(std::make_unique<RequestMetrics>())
    , store(std::make_unique<CatalogueStore>())
{
}

Daemon::~Daemon()
{
    // Clears the member before the endpoint is destroyed, because the administration port still serves metrics meanwhile.
    std::unique_ptr<CallerEndpoint> endpoint;
    const std::lock_guard<std::mutex> lock(this->callersMutex);
    endpoint.swap(this->callers);
}

boost::leaf::result<void> Daemon::start()
{
    boost::leaf::result<void> telemetry = this->startTelemetry();
    if (!telemetry) {
        return telemetry.error();
    }
    this->client = std::make_unique<UpstreamClient>(clientOptions(this->settings));
    BOOST_LEAF_CHECK(this->startParts());
    this->requestHandler = std::make_unique<RequestHandler>(this->requestHandlerDependencies(), requestHandlerOptions(this->settings));
    this->addGauges();
    return this->startCallerEndpoint();
}

boost::leaf::result<void> Daemon::startParts()
{
    const std::function<std::string()> metricsText = [this] { return this->metrics->text(); };
    const std::function<bool()> isAcceptingCallers = [this] { return !this->stopping; };
    if (this->settings.relay.enabled) {
        BOOST_LEAF_ASSIGN(this->parts, RelayParts::create(this->settings, *this->client, {metricsText, isAcceptingCallers}));
        return {};
    }
    BOOST_LEAF_ASSIGN(this->parts, FleetParts::create(this->settings, *this->store, {metricsText, isAcceptingCallers}));
    return {};
}

boost::leaf::result<void> Daemon::startTelemetry()
{
    if (!this->settings.telemetry.traceFile.empty()) {
        BOOST_LEAF_ASSIGN(this->spans, SpanWriter::create(this->settings.telemetry.traceFile, this->settings.vm.id));
    }
    return {};
}

boost::leaf::result<void> Daemon::startCallerEndpoint()
{
    CallerEndpoint::Options options;
    options.endpoint = this->settings.listen.caller;
    options.maximumConnections = this->settings.listen.maximumConnections;
    options.maximumRequestBytes = this->settings.limits.maximumRequestBytes;
    BOOST_LEAF_AUTO(created, CallerEndpoint::create(options, [this](const CallerRequest &request) { return this->requestHandler->handle(request); }));
    {
        const std::lock_guard<std::mutex> lock(this->callersMutex);
        this->callers = std::move(created);
    }
    LOG(INFO) << "Serving callers on " << this->settings.listen.caller.address();
    return {};
}

RequestHandler::Dependencies Daemon::requestHandlerDependencies()
{
    std::vector<RequestObserver *> observers{this->metrics.get(), &this->requestLog};
    if (this->parts->observer() != nullptr) {
        observers.push_back(this->parts->observer());
    }
    if (this->spans != nullptr) {
        observers.push_back(this->spans.get());
    }
    return {this->parts->catalogue(),
        this->parts->servingLease(),
        this->parts->rateLimiter(),
        this->parts->claims(),
        this->parts->capacity(),
        this->parts->health(),
        this->parts->sender(*this->client),
        this->parts->retries(),
        std::chrono::steady_clock::now,
        systemRandom,
        observers,
        [this](SteadyTime deadline) { this->parts->awaitCatalogue(deadline); }};
}

void Daemon::addGauges()
{
    this->parts->addGauges(*this->metrics);
    this->metrics->addGauge(
        "hyssophall_upstream_pools", "Upstream instances with pooled connections.", [this] { return static_cast<double>(this->client->poolCount()); });
    this->metrics->addGauge("hyssophall_buffered_answer_bytes_most",
        "Most bytes of large responses that were being received at a time, since the start.",
        [this] { return static_cast<double>(this->client->mostBufferedBytes()); });
    this->metrics->addGauge("hyssophall_requests_in_flight", "Requests of callers in flight.", [this] {
        const std::lock_guard<std::mutex> lock(this->callersMutex);
        return this->callers == nullptr ? 0.0 : static_cast<double>(this->callers->requestsInFlight());
    });
    this->metrics->addGauge("hyssophall_spans_dropped", "Requests whose spans were dropped.", [this] {
        return this->spans == nullptr ? 0.0 : static_cast<double>(this->spans->droppedRequests());
    });
}

bool Daemon::shutDown()
{
    ShutdownSequence::Steps steps;
    steps.markUnready = [this] {
        this->stopping = true;
        this->requestHandler->beginShutdown();
        this->callers->beginDrain();
        this->parts->beginDrain();
    };
    steps.sleep = [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); };
    // Connections are still accepted: a caller on one that nobody accepts would wait until the process ends, and isn't told that its request wasn't run.
    steps.stopAccepting = [this] { this->requestHandler->stopAccepting(); };
    steps.waitUntilIdle = [this](std::chrono::milliseconds limit) {
        const SteadyTime end = std::chrono::steady_clock::now() + limit;
        const bool isIdle = this->callers->waitUntilIdle(limit);
        const SteadyTime now = std::chrono::steady_clock::now();
        return this->parts->waitUntilIdle(std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(end - now))) && isIdle;
    };
    steps.leaveFleet = [this] { this->parts->leave(); };
    LOG(INFO) << "Shutting down with " << this->callers->requestsInFlight() << " requests in flight";
    const bool finished = ShutdownSequence(this->settings.shutdown, steps).run();
    LOG(INFO) << (finished ? "All requests finished" : "The drain limit expired with requests in flight");
    if (finished) {
        this->callers->stopAccepting();
        this->callers->waitUntilIdle(lastRefusalsTime);
    }
    return finished;
}

void Daemon::closeSpans()
{
    if (this->spans != nullptr) {
        this->spans->close();
    }
}

} // namespace Hyssophall
