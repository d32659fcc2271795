#include "process/cataloguestore.h"

#include <boost/leaf/error.hpp>

#include <utility>

namespace Hyssophall {

namespace leaf = boost::leaf;

CatalogueStore::CatalogueStore()
    : inForce(Catalogue::createEmpty())
{
}

std::shared_ptr<const Catalogue> CatalogueStore::current() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->inForce;
}

leaf::result<std::uint64_t> CatalogueStore::advance(const std::vector<CatalogueMessages::VersionedChange> &changes)
{
    std::uint64_t version = 0;
    {
        const std::lock_guard<std::mutex> installLock(this->installMutex);
        std::shared_ptr<const Catalogue> next = this->current();
        std::vector<CatalogueMessages::VersionedChange> accepted;
        for (const CatalogueMessages::VersionedChange &change : changes) {
            if (change.version() <= next->version()) {
                continue;
            }
            if (change.version() > next->version() + 1) {
                break;
            }
            BOOST_LEAF_ASSIGN(next, next->applied(change.change()));
            accepted.push_back(change);
        }
        version = next->version();
        if (accepted.empty()) {
            return version;
        }
        this->install(std::move(next), accepted);
    }
    this->notifyListeners();
    return version;
}

leaf::result<std::uint64_t> CatalogueStore::replace(const CatalogueMessages::Snapshot &snapshot)
{
    {
        const std::lock_guard<std::mutex> installLock(this->installMutex);
        const std::uint64_t present = this->current()->version();
        if (snapshot.version() <= present) {
            return present;
        }
        BOOST_LEAF_AUTO(next, Catalogue::create(snapshot));
        this->install(std::move(next), {});
    }
    this->notifyListeners();
    return snapshot.version();
}

std::optional<std::vector<CatalogueMessages::VersionedChange>> CatalogueStore::changesSince(std::uint64_t version) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (version >= this->inForce->version()) {
        return std::vector<CatalogueMessages::VersionedChange>();
    }
    if (this->keptChanges.empty() || this->keptChanges.front().version() > version + 1) {
        return std::nullopt;
    }
    const std::uint64_t skipped = version + 1 - this->keptChanges.front().version();
    return std::vector<CatalogueMessages::VersionedChange>(this->keptChanges.begin() + static_cast<std::ptrdiff_t>(skipped), this->keptChanges.end());
}

void CatalogueStore::addListener(Listener listener)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->listeners.push_back(std::move(listener));
}

void CatalogueStore::install(std::shared_ptr<const Catalogue> catalogue, const std::vector<CatalogueMessages::VersionedChange> &changes)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (changes.empty()) {
        // The changes between the two catalogues aren't known, so a peer that is behind needs a snapshot.
        this->keptChanges.clear();
    }
    this->keptChanges.insert(this->keptChanges.end(), changes.begin(), changes.end());
    while (this->keptChanges.size() > maximumKeptChanges) {
        this->keptChanges.pop_front();
    }
    this->inForce = catalogue;
    this->unannounced.push_back(std::move(catalogue));
}

void CatalogueStore::notifyListeners()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->isNotifying) {
        return;
    }
    this->isNotifying = true;
    while (!this->unannounced.empty()) {
        const std::shared_ptr<const Catalogue> catalogue = std::move(this->unannounced.front());
        this->unannounced.pop_front();
        const std::vector<Listener> called = this->listeners;
        lock.unlock();
        for (const Listener &listener : called) {
            listener(catalogue);
        }
        lock.lock();
    }
    this->isNotifying = false;
}

} // namespace Hyssophall
