#pragma once

#include "process/control/cataloguemachine.h"

#include <functional>
#include <memory>

namespace Hyssophall {

/**
 * The catalogue that the control log makes, apart from the one in force on this VM: the latter may already be newer, by gossip.
 *
 * Each change that is committed is handed to the hooks, in the order of the versions.
 */
class CatalogueStateMachine : public CatalogueMachine
{
public:
    struct Hooks {
        /// For CatalogueStore::advance().
        std::function<void(const CatalogueMessages::VersionedChange &)> changed;
        /// For CatalogueStore::replace().
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
