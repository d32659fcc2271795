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

/// All long-lived objects of a daemon and their connections.
class Daemon
{
public:
    /// Starts to serve; the log outlives the daemon. Errors: those of FleetParts::create() or RelayParts::create(), TelemetryFileFailure, EndpointFailure.
    static boost::leaf::result<std::unique_ptr<Daemon>> create(const Settings &settings, JsonLogSink &log);

    /// Ends what create() began, in the opposite order; requests in flight are cut off without shutDown().
    ~Daemon();

    /// The steps from SIGTERM to the exit. Returns true when no request was interrupted.
    bool shutDown();

private:
    Daemon(const Settings &settings, JsonLogSink &log);

    boost::leaf::result<void> start();
    boost::leaf::result<void> startParts();
    boost::leaf::result<void> startTelemetry();
    boost::leaf::result<void> startCallerEndpoint();
    RequestHandler::Dependencies requestHandlerDependencies();
    void addGauges();

    // In the order of creation: later members use earlier ones.
    const Settings settings;
    std::atomic<bool> stopping{false};
    RequestLog requestLog;
    std::unique_ptr<RequestMetrics> metrics;
    std::unique_ptr<SpanWriter> spans;
    std::unique_ptr<CatalogueStore> store;
    std::unique_ptr<UpstreamClient> client;
    std::unique_ptr<VmParts> parts;
    std::unique_ptr<RequestHandler> requestHandler;
    /// Guards the pointer alone: /metrics reads it on other threads from before the endpoint starts until after it ends.
    std::mutex callersMutex;
    std::unique_ptr<CallerEndpoint> callers;
};

} // namespace Hyssophall
