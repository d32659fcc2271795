#include "controldaemon.h"

#include "systemrandom.h"

#include <glog/logging.h>

namespace Hyssophall {

boost::leaf::result<std::unique_ptr<ControlDaemon>> ControlDaemon::create(const Settings &settings)
{
    std::unique_ptr<ControlDaemon> daemon(new ControlDaemon(settings));
    BOOST_LEAF_CHECK(daemon->start());
    return daemon;
}

ControlDaemon::ControlDaemon(const Settings &settings)
    : settings(settings)
    , metrics(std::make_unique<RequestMetrics>())
{
}

boost::leaf::result<void> ControlDaemon::start()
{
    BOOST_LEAF_ASSIGN(this->node, ControlNode::create(this->settings, {systemRandom}));
    this->addGauges();
    this->interface = std::make_unique<Platform::ControlInterface>(this->interfaceHooks());
    BOOST_LEAF_ASSIGN(this->registrations,
        Administration::AdministrationServer::create([this](const Administration::HttpRequest &request) { return this->interface->handle(request); },
            this->settings.listen.registration,
            this->settings.listen.maximumConnections));
    StatusEndpoint::Hooks statusHooks;
    statusHooks.metricsText = [this] { return this->metrics->text(); };
    statusHooks.unreadyReason = [this] { return this->node->relayStatus().current() ? std::string() : std::string("not_current"); };
    this->status = std::make_unique<StatusEndpoint>(std::move(statusHooks));
    BOOST_LEAF_ASSIGN(this->administration,
        Administration::AdministrationServer::create([this](const Administration::HttpRequest &request) { return this->status->handle(request); },
            this->settings.listen.administration,
            this->settings.listen.maximumConnections));
    LOG(INFO) << "Control VM of failure domain " << this->settings.vm.failureDomain << " accepts registrations on "
              << this->settings.listen.registration.address();
    return {};
}

Platform::ControlInterface::Hooks ControlDaemon::interfaceHooks()
{
    Platform::ControlInterface::Hooks hooks;
    hooks.clock = std::chrono::steady_clock::now;
    hooks.putConfiguration
        = [this](const CatalogueMessages::Configuration &configuration, SteadyTime deadline) { return this->node->putConfiguration(configuration, deadline); };
    hooks.readConfiguration = [this](SteadyTime deadline) { return this->node->readConfiguration(deadline); };
    hooks.registerInstance = [this](const Platform::RelayMessages::Registration &registration, SteadyTime deadline) {
        return this->node->registerInstance(registration, deadline);
    };
    hooks.removeInstance = [this](const std::string &id, SteadyTime deadline) { return this->node->removeInstance(id, deadline); };
    hooks.isServiceKnown = [this](const std::string &service) { return this->node->isServiceKnown(service); };
    return hooks;
}

void ControlDaemon::addGauges()
{
    this->metrics->addGauge("hyssophall_relay_current", "1 while this relay hears a majority of the relays and the leader of the control group.", [this] {
        return this->node->relayStatus().current() ? 1.0 : 0.0;
    });
    this->metrics->addGauge("hyssophall_visible_vms", "VMs connected to the relays that this relay hears.", [this] {
        return static_cast<double>(this->node->relayStatus().visible_vms());
    });
    this->metrics->addGauge(
        "hyssophall_known_vms", "VMs connected to any relay lately.", [this] { return static_cast<double>(this->node->relayStatus().known_vms()); });
    this->metrics->addGauge("hyssophall_relay_vms", "VMs connected to this relay.", [this] { return static_cast<double>(this->node->streamCounts().vms); });
    this->metrics->addGauge("hyssophall_relay_streams_refused", "Streams of VMs refused since the start because too many came at once.", [this] {
        return static_cast<double>(this->node->streamCounts().refused);
    });
    this->metrics->addGauge("hyssophall_largest_team_use_ratio",
        "The largest part of its limit that a team was admitted in the last window, over all VMs that were heard.",
        [this] { return this->node->largestTeamUse(); });
    this->metrics->addGauge("hyssophall_configuration_version", "Version of the configuration in force.", [this] {
        return static_cast<double>(this->node->replicaStatus().catalogue_version());
    });
    this->metrics->addGauge("hyssophall_control_committed_index", "Last entry of the control log known to be committed.", [this] {
        return static_cast<double>(this->node->replicaStatus().committed_index());
    });
}

} // namespace Hyssophall
