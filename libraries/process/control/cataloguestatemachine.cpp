#include "process/control/cataloguestatemachine.h"

#include <utility>

namespace Hyssophall {

CatalogueStateMachine::CatalogueStateMachine(Hooks hooks)
    : hooks(std::move(hooks))
    , catalogue(Catalogue::createEmpty())
{
}

std::uint64_t CatalogueStateMachine::version() const
{
    return this->catalogue->version();
}

boost::leaf::result<void> CatalogueStateMachine::apply(const CatalogueMessages::Change &change)
{
    BOOST_LEAF_AUTO(next, this->catalogue->applied(change));
    this->catalogue = next;
    CatalogueMessages::VersionedChange versioned;
    versioned.set_version(next->version());
    *versioned.mutable_change() = change;
    this->hooks.changed(versioned);
    return {};
}

CatalogueMessages::Snapshot CatalogueStateMachine::snapshot() const
{
    return this->catalogue->snapshot();
}

boost::leaf::result<void> CatalogueStateMachine::restore(const CatalogueMessages::Snapshot &snapshot)
{
    BOOST_LEAF_AUTO(restored, Catalogue::create(snapshot));
    this->catalogue = restored;
    this->hooks.replaced(snapshot);
    return {};
}

} // namespace Hyssophall
