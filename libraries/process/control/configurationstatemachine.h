#pragma once

#include "process/control/statemachine.h"

#include <functional>
#include <memory>

namespace Hyssophall {

/// State machine of a control group whose operators replace the whole configuration. The configuration with the highest version is in force. Not thread-safe.
class ConfigurationStateMachine : public StateMachine
{
public:
    /// Called with each configuration that comes into force, on the thread that applies entries.
    using Listener = std::function<void(const std::shared_ptr<const CatalogueMessages::Configuration> &)>;

    explicit ConfigurationStateMachine(Listener listener);

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
