#pragma once

#include "process/cataloguefile.h"
#include "process/cataloguestore.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace Hyssophall {

/**
 * Loads the catalogue's copy on disk into a store and keeps the copy up to date from a thread of its own.
 *
 * Writing takes far longer than applying a change: about a second at 240,000 teams. So the thread rests for 99 times as long as a write
 * took, which bounds the cost to 1% of a core, and then writes the newest catalogue. The copy only makes a start faster and
 * independent of peers; it is no acknowledgement of a change.
 */
class CatalogueKeeper
{
public:
    using FailureListener = std::function<void(const CatalogueFileError &)>;

    /// Loads the copy and starts the thread. A copy that is missing, corrupted or refused by the store leaves the store as it is; all but
    /// a missing one are told to @p onFailure, as is each failed write (from the thread).
    CatalogueKeeper(const std::string &dataFolder, CatalogueStore &store, FailureListener onFailure);
    CatalogueKeeper(const CatalogueKeeper &) = delete;
    CatalogueKeeper &operator=(const CatalogueKeeper &) = delete;

    /// Writes the newest catalogue and ends the thread.
    ~CatalogueKeeper();

private:
    /// Shared with the store's listener, which may be called after the keeper is gone.
    struct Pending {
        std::mutex mutex;
        std::condition_variable changed;
        std::shared_ptr<const Catalogue> newest;
        bool isStopping = false;
    };

    static constexpr int restForEachWrite = 99;

    void load(CatalogueStore &store);
    void run();
    void write(const Catalogue &catalogue) const;

    CatalogueFile copy;
    FailureListener report;
    std::shared_ptr<Pending> pending;
    std::thread thread;
};

} // namespace Hyssophall
