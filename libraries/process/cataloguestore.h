#pragma once

#include "version/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace Hyssophall {

/**
 * The catalogue in force on this VM, with the last changes for peers that are behind.
 *
 * Versions only go up: an older or equal catalogue is never taken. Safe to use from all threads.
 */
class CatalogueStore
{
public:
    /// Called after a newer catalogue came into force, outside of locks, in the order of the versions. One thread at a time runs
    /// the listeners; a thread that installs a catalogue meanwhile leaves it to that thread.
    using Listener = std::function<void(std::shared_ptr<const Catalogue>)>;

    /// Changes kept for peers; a peer further behind gets a snapshot.
    static constexpr std::size_t maximumKeptChanges = 1000;

    CatalogueStore();

    std::shared_ptr<const Catalogue> current() const;

    /// Applies consecutive changes. Changes at or below the version in force are skipped; at a gap, nothing more is applied.
    /// Returns the version in force afterwards. Errors: InvalidChange.
    boost::leaf::result<std::uint64_t> advance(const std::vector<CatalogueMessages::VersionedChange> &changes);

    /// Takes a whole catalogue if it is newer. Returns the version in force afterwards. Errors: InvalidChange.
    boost::leaf::result<std::uint64_t> replace(const CatalogueMessages::Snapshot &snapshot);

    /// The changes after @p version, or nothing when they aren't all kept any more (a snapshot is needed).
    std::optional<std::vector<CatalogueMessages::VersionedChange>> changesSince(std::uint64_t version) const;

    void addListener(Listener listener);

private:
    void install(std::shared_ptr<const Catalogue> catalogue, const std::vector<CatalogueMessages::VersionedChange> &changes);
    void notifyListeners();

    mutable std::mutex mutex;
    std::mutex installMutex;
    std::shared_ptr<const Catalogue> inForce;
    std::deque<CatalogueMessages::VersionedChange> keptChanges;
    std::vector<Listener> listeners;
    std::deque<std::shared_ptr<const Catalogue>> unannounced;
    bool isNotifying = false;
};

} // namespace Hyssophall
