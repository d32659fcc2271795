#pragma once

#include "process/control/statemachine.h"

#include <functional>
#include <memory>

namespace Hyssophall {

/**
 * The catalogue that results from the replicated log. It is separate from the catalogue in force on this VM, which may already be newer by gossip.
 *
 * The hooks are called with each committed change, in the order of the versions.
 */
class CatalogueStateMachine : public StateMachine
{
public:
    struct Hooks {
        /// Called with each accepted change; passes it to CatalogueStore::advance().
        std::function<void(const CatalogueMessages::VersionedChange &)> changed;
        /// Called with each snapshot that is restored; passes it to CatalogueStore::replace().
        std::function<void(const CatalogueMessages::Snapshot &)> replaced;
    };

    explicit CatalogueStateMachine(Hooks hooks);

    std::uint64_t version() const override;
    boost::leaf::result<void> apply(const CatalogueMessages::Change &change) override;
    CatalogueMessages::Snapshot snapshot() const override;
    boost::leaf::result<void> restore(const CatalogueMessages::Snapshot &snapshot) override;

private:
    const Hooks hooks;
    std::shared_ptr<const Catalogue> catalogue;
};

} // namespace Hyssophall
