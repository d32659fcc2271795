#pragma once

#include "process/fleet/fleettransport.h"
#include "version/roster.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Hyssophall {

class CatalogueStore;

/// The catalogue in force on this VM as the fleet needs it. All hooks are thread-safe.
struct CatalogueSource {
    std::function<std::uint64_t()> version;
    std::function<std::shared_ptr<const Roster>()> roster;
    /// The changes after a version, or nothing when they aren't all kept any more.
    std::function<std::optional<std::vector<CatalogueMessages::VersionedChange>>(std::uint64_t)> changesSince;
    std::function<CatalogueMessages::Snapshot()> snapshot;
    /// Takes consecutive changes. Returns false when one is invalid.
    std::function<bool(const std::vector<CatalogueMessages::VersionedChange> &)> advance;
    /// Takes a whole catalogue if it is newer. Returns false when it is invalid.
    std::function<bool(const CatalogueMessages::Snapshot &)> replace;

    /// The hooks of a store, which must outlive them.
    static CatalogueSource of(CatalogueStore &store);

    /// Answers FetchCatalogue: nothing when the caller isn't behind, else the changes or a snapshot.
    FleetMessages::FetchCatalogueReply answer(const FleetMessages::FetchCatalogueRequest &request) const;
};

} // namespace Hyssophall
