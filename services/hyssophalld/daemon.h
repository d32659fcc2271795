#pragma once

#include "connection/upstreamclient.h"
#include "process/cataloguestore.h"
#include "process/proxy/callerendpoint.h"
#include "process/proxy/requesthandler.h"
#include "process/telemetry/jsonlogsink.h"
#include "process/telemetry/requestlog.h"
#include "process/telemetry/requestmetrics.h"
#include "process/telemetry/spanwriter.h"
#include "vmparts.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

/// All long-lived objects of a VM that serves callers.
class Daemon
{
public:
    /// Opens the ports and starts to serve. The log must outlive the daemon. Errors: those of FleetParts::create() or RelayParts::create(),
    /// TelemetryFileFailure, EndpointFailure.
    static boost::leaf::result<std::unique_ptr<Daemon>> create(const Settings &settings, JsonLogSink &log);

    /// Stops everything in the reverse order of its start. Waits for requests in flight.
    ~Daemon();

    /// Drains requests and leaves the fleet, as after SIGTERM; see ShutdownSequence. Returns whether all requests finished. If some haven't, further ones are
    /// still refused, and the process should end without destroying this object, which would wait for them.
    bool shutDown();

    /// Writes the spans that wait.
    void closeSpans();

private:
    Daemon(const Settings &settings, JsonLogSink &log);

    boost::leaf::result<void> start();
    boost::leaf::result<void> startParts();
    boost::leaf::result<void> startTelemetry();
    boost::leaf::result<void> startCallerEndpoint();
    RequestHandler::Dependencies requestHandlerDependencies();
    void addGauges();

    // In the order of creation, because later members use earlier ones and must be destroyed first.
    const Settings settings;
    std::atomic<bool> stopping{false};
    RequestLog requestLog;
    std::unique_ptr<RequestMetrics> metrics;
    std::unique_ptr<SpanWriter> spans;
    std::unique_ptr<CatalogueStore> store;
    std::unique_ptr<UpstreamClient> client;
    std::unique_ptr<VmParts> parts;
    std::unique_ptr<RequestHandler> requestHandler;
    /// Protects only the pointer, because /metrics reads it on other threads before the endpoint is created and while it is destroyed.
    std::mutex callersMutex;
    std::unique_ptr<CallerEndpoint> callers;
};

} // namespace Hyssophall
