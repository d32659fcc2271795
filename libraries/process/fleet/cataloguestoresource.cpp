#include "process/cataloguestore.h"
#include "process/fleet/cataloguesource.h"

namespace Hyssophall {

CatalogueSource CatalogueSource::of(CatalogueStore &store)
{
    CatalogueSource source;
    source.version = [&store] { return store.current()->version(); };
    source.roster = [&store] {
        const std::shared_ptr<const Catalogue> catalogue = store.current();
        return std::shared_ptr<const Roster>(catalogue, &catalogue->roster());
    };
    source.changesSince = [&store](std::uint64_t version) { return store.changesSince(version); };
    source.snapshot = [&store] { return store.current()->snapshot(); };
    source.advance = [&store](const std::vector<CatalogueMessages::VersionedChange> &changes) { return static_cast<bool>(store.advance(changes)); };
    source.replace = [&store](const CatalogueMessages::Snapshot &snapshot) { return static_cast<bool>(store.replace(snapshot)); };
    return source;
}

} // namespace Hyssophall
