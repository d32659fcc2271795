#include "process/control/configurationstatemachine.h"

#include <utility>

namespace Hyssophall {

ConfigurationStateMachine::ConfigurationStateMachine(Listener listener)
    : listener(std::move(listener))
    , inForce(std::make_shared<const CatalogueMessages::Configuration>())
{
}

std::uint64_t ConfigurationStateMachine::version() const
{
    return this->inForce->version();
}

boost::leaf::result<void> ConfigurationStateMachine::apply(const CatalogueMessages::Change &change)
{
    switch (change.kind_case()) {
    case CatalogueMessages::Change::kReplaceConfiguration:
        this->replace(change.replace_configuration());
        return {};
    case CatalogueMessages::Change::kReadBarrier:
        return {};
    default:
        return boost::leaf::new_error(InvalidChange{"change", "a whole configuration, which is all that this group takes"});
    }
}

void ConfigurationStateMachine::replace(const CatalogueMessages::Configuration &configuration)
{
    if (configuration.version() > this->inForce->version()) {
        this->inForce = std::make_shared<const CatalogueMessages::Configuration>(configuration);
        this->listener(this->inForce);
    }
}

CatalogueMessages::Snapshot ConfigurationStateMachine::snapshot() const
{
    CatalogueMessages::Snapshot snapshot;
    snapshot.set_version(this->inForce->version());
    *snapshot.mutable_configuration() = *this->inForce;
    return snapshot;
}

boost::leaf::result<void> ConfigurationStateMachine::restore(const CatalogueMessages::Snapshot &snapshot)
{
    this->replace(snapshot.configuration());
    return {};
}

} // namespace Hyssophall
