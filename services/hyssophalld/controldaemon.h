#pragma once

#include "platform/controlinterface.h"
#include "process/administration/administrationserver.h"
#include "process/relay/controlnode.h"
#include "process/telemetry/requestmetrics.h"
#include "statusendpoint.h"

#include <boost/leaf/result.hpp>

#include <memory>

namespace Hyssophall {

/// All long-lived objects of a control VM in a fleet with relays: its node, the platform's control interface and the administration port.
class ControlDaemon
{
public:
    /// Opens the ports and starts to serve. Errors: those of ControlNode::create(), Administration::ServerNotStarted.
    static boost::leaf::result<std::unique_ptr<ControlDaemon>> create(const Settings &settings);

private:
    explicit ControlDaemon(const Settings &settings);

    boost::leaf::result<void> start();
    Platform::ControlInterface::Hooks interfaceHooks();
    void addGauges();

    // In the order of creation, because later members use earlier ones and must be destroyed first.
    const Settings settings;
    std::unique_ptr<RequestMetrics> metrics;
    std::unique_ptr<ControlNode> node;
    std::unique_ptr<Platform::ControlInterface> interface;
    std::unique_ptr<StatusEndpoint> status;
    std::unique_ptr<Administration::AdministrationServer> registrations;
    std::unique_ptr<Administration::AdministrationServer> administration;
};

} // namespace Hyssophall
