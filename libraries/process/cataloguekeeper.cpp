#include "process/cataloguekeeper.h"

#include <boost/leaf/handle_errors.hpp>

#include <chrono>
#include <utility>

namespace Hyssophall {

namespace leaf = boost::leaf;

CatalogueKeeper::CatalogueKeeper(const std::string &dataFolder, CatalogueStore &store, FailureListener onFailure)
    : copy(dataFolder)
    , report(std::move(onFailure))
    , pending(std::make_shared<Pending>())
{
    this->load(store);
    store.addListener([pending = this->pending](const std::shared_ptr<const Catalogue> &catalogue) {
        const std::lock_guard<std::mutex> lock(pending->mutex);
        pending->newest = catalogue;
        pending->changed.notify_one();
    });
    this->thread = std::thread([this]() { this->run(); });
}

CatalogueKeeper::~CatalogueKeeper()
{
    {
        const std::lock_guard<std::mutex> lock(this->pending->mutex);
        this->pending->isStopping = true;
        this->pending->changed.notify_one();
    }
    this->thread.join();
}

void CatalogueKeeper::load(CatalogueStore &store)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(snapshot, this->copy.read());
            BOOST_LEAF_CHECK(store.replace(snapshot));
            return {};
        },
        [this](const CatalogueFileError &error) {
            if (error.reason != CatalogueFileError::Reason::Missing) {
                this->report(error);
            }
        },
        [this]() {
            this->report(CatalogueFileError{CatalogueFileError::Reason::Corrupted, this->copy.file(), 0});
        });
}

void CatalogueKeeper::run()
{
    using Clock = std::chrono::steady_clock;
    std::unique_lock<std::mutex> lock(this->pending->mutex);
    while (true) {
        this->pending->changed.wait(lock, [this]() { return this->pending->newest != nullptr || this->pending->isStopping; });
        const std::shared_ptr<const Catalogue> newest = std::exchange(this->pending->newest, nullptr);
        if (newest == nullptr) {
            return;
        }
        lock.unlock();
        const Clock::time_point start = Clock::now();
        this->write(*newest);
        const Clock::duration rest = (Clock::now() - start) * restForEachWrite;
        lock.lock();
        this->pending->changed.wait_for(lock, rest, [this]() { return this->pending->isStopping; });
    }
}

void CatalogueKeeper::write(const Catalogue &catalogue) const
{
    leaf::try_handle_all([&]() { return this->copy.write(catalogue.snapshot()); },
        [this](const CatalogueFileError &error) { this->report(error); },
        [this]() {
            this->report(CatalogueFileError{CatalogueFileError::Reason::InputOutput, this->copy.file(), 0});
        });
}

} // namespace Hyssophall
