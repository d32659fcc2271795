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

/// Access to the catalogue in force on this VM, for its distribution between VMs. All hooks are thread-safe.
struct CatalogueSource {
    std::function<std::uint64_t()> version;
    std::function<std::shared_ptr<const Roster>()> roster;
    /// The changes after a version, or nothing if some of them are no longer stored.
    std::function<std::optional<std::vector<CatalogueMessages::VersionedChange>>(std::uint64_t)> changesSince;
    std::function<CatalogueMessages::Snapshot()> snapshot;
    /// Applies consecutive changes. Returns false if one is invalid.
    std::function<bool(const std::vector<CatalogueMessages::VersionedChange> &)> advance;
    /// Installs a whole catalogue if it is newer. Returns false if it is invalid.
    std::function<bool(const CatalogueMessages::Snapshot &)> replace;

    /// Creates hooks that access @p store, which must outlive them.
    static CatalogueSource of(CatalogueStore &store);

    /// Reply to FetchCatalogue: empty if the caller's version isn't older, else the changes since that version or a snapshot.
    FleetMessages::FetchCatalogueReply replyTo(const FleetMessages::FetchCatalogueRequest &request) const;
};

} // namespace Hyssophall
