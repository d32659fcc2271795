#pragma once

#include "process/fleet/cataloguesource.h"

#include <memory>
#include <vector>

namespace Hyssophall {

/// A catalogue that also installs older versions and records that it did, so that a test detects an attempt to do so.
struct SimulatedCatalogue {
    CatalogueMessages::Snapshot state;
    std::vector<CatalogueMessages::VersionedChange> changes;
    std::shared_ptr<const Roster> roster = std::make_shared<const Roster>();
    bool acceptedOlderVersion = false;

    void append()
    {
        this->state.set_version(this->state.version() + 1);
        this->changes.emplace_back().set_version(this->state.version());
    }

    CatalogueSource source()
    {
        CatalogueSource source;
        source.version = [this] { return this->state.version(); };
        source.roster = [this] { return this->roster; };
        source.snapshot = [this] { return this->state; };
        source.changesSince = [this](std::uint64_t version) -> std::optional<std::vector<CatalogueMessages::VersionedChange>> {
            if (this->changes.empty() || this->changes.front().version() > version + 1) {
                return std::nullopt;
            }
            return std::vector<CatalogueMessages::VersionedChange>(
                this->changes.begin() + static_cast<std::ptrdiff_t>(version + 1 - this->changes.front().version()), this->changes.end());
        };
        source.advance = [this](const std::vector<CatalogueMessages::VersionedChange> &added) {
            for (const CatalogueMessages::VersionedChange &change : added) {
                if (change.version() == this->state.version() + 1) {
                    this->append();
                }
            }
            return true;
        };
        source.replace = [this](const CatalogueMessages::Snapshot &snapshot) {
            this->acceptedOlderVersion = this->acceptedOlderVersion || snapshot.version() <= this->state.version();
            this->state = snapshot;
            this->changes.clear();
            this->roster = std::make_shared<const Roster>(
                snapshot.roster_version(), std::vector<CatalogueMessages::Member>(snapshot.members().begin(), snapshot.members().end()));
            return true;
        };
        return source;
    }
};

} // namespace Hyssophall
