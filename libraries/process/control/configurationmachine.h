#pragma once

#include "process/control/cataloguemachine.h"

#include <functional>
#include <memory>

namespace Hyssophall {

/// The state of a control group whose operators replace the whole configuration: the one with the highest version. Not thread-safe.
class ConfigurationMachine : public CatalogueMachine
{
public:
    /// Called with each configuration that comes into force.
    using Listener = std::function<void(const std::shared_ptr<const CatalogueMessages::Configuration> &)>;

    explicit ConfigurationMachine(Listener listener);

    std::uint64_t version() const override;
    boost::leaf::result<void> apply(const CatalogueMessages::Change &change) override;
    CatalogueMessages::Snapshot snapshot() const override;
    boost::leaf::result<void> restore(const CatalogueMessages::Snapshot &snapshot) override;

private:
    void replace(const CatalogueMessages::Configuration &configuration);

    const Listener listener;
    std::shared_ptr<const CatalogueMessages::Configuration> inForce;
};

} // namespace Hyssophall
