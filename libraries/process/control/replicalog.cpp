#include "process/control/replicalog.h"

#include <utility>

namespace Hyssophall {

ReplicaLog::ReplicaLog(ControlMessages::StateSnapshot snapshot, std::vector<ControlMessages::Entry> entries)
    : baseSnapshot(std::move(snapshot))
    , laterEntries(std::move(entries))
{
    this->findConfiguration();
}

const ControlMessages::StateSnapshot &ReplicaLog::snapshot() const
{
    return this->baseSnapshot;
}

const std::vector<ControlMessages::Entry> &ReplicaLog::entries() const
{
    return this->laterEntries;
}

ControlMessages::Position ReplicaLog::last() const
{
    if (this->laterEntries.empty()) {
        return this->baseSnapshot.last();
    }
    ControlMessages::Position position;
    position.set_term(this->laterEntries.back().term());
    position.set_index(this->laterEntries.back().index());
    return position;
}

std::uint64_t ReplicaLog::lastIndex() const
{
    return this->snapshotIndex() + this->laterEntries.size();
}

std::uint64_t ReplicaLog::snapshotIndex() const
{
    return this->baseSnapshot.last().index();
}

std::optional<std::uint64_t> ReplicaLog::termAt(std::uint64_t index) const
{
    if (index == this->snapshotIndex()) {
        return this->baseSnapshot.last().term();
    }
    const ControlMessages::Entry *entry = this->find(index);
    if (entry == nullptr) {
        return std::nullopt;
    }
    return entry->term();
}

const ControlMessages::Entry *ReplicaLog::find(std::uint64_t index) const
{
    if (index <= this->snapshotIndex() || index > this->lastIndex()) {
        return nullptr;
    }
    return &this->laterEntries[index - this->snapshotIndex() - 1];
}

std::vector<ControlMessages::Entry> ReplicaLog::entriesAfter(std::uint64_t index, std::size_t maximumBytes) const
{
    std::vector<ControlMessages::Entry> selected;
    std::size_t bytes = 0;
    for (std::uint64_t next = index + 1; next <= this->lastIndex(); ++next) {
        const ControlMessages::Entry &entry = *this->find(next);
        bytes += entry.ByteSizeLong();
        if (!selected.empty() && bytes > maximumBytes) {
            break;
        }
        selected.push_back(entry);
    }
    return selected;
}

const ControlMessages::GroupConfiguration &ReplicaLog::configuration() const
{
    return this->lastConfiguration;
}

std::uint64_t ReplicaLog::configurationIndex() const
{
    return this->lastConfigurationIndex;
}

const ControlMessages::GroupConfiguration &ReplicaLog::previousConfiguration() const
{
    for (std::uint64_t index = this->lastConfigurationIndex; index > this->snapshotIndex() + 1; --index) {
        if (this->find(index - 1)->has_configuration()) {
            return this->find(index - 1)->configuration();
        }
    }
    return this->baseSnapshot.configuration().replicas().empty() ? this->lastConfiguration : this->baseSnapshot.configuration();
}

void ReplicaLog::append(const ControlMessages::Entry &entry)
{
    this->laterEntries.push_back(entry);
    if (entry.has_configuration()) {
        this->lastConfiguration = entry.configuration();
        this->lastConfigurationIndex = entry.index();
    }
}

void ReplicaLog::truncateAfter(std::uint64_t index)
{
    this->laterEntries.resize(index - this->snapshotIndex());
    this->findConfiguration();
}

void ReplicaLog::replace(const ControlMessages::StateSnapshot &snapshot, std::vector<ControlMessages::Entry> remaining)
{
    this->baseSnapshot = snapshot;
    this->laterEntries = std::move(remaining);
    this->findConfiguration();
}

void ReplicaLog::findConfiguration()
{
    this->lastConfiguration = this->baseSnapshot.configuration();
    this->lastConfigurationIndex = this->lastConfiguration.replicas_size() > 0 ? this->snapshotIndex() : 0;
    for (const ControlMessages::Entry &entry : this->laterEntries) {
        if (entry.has_configuration()) {
            this->lastConfiguration = entry.configuration();
            this->lastConfigurationIndex = entry.index();
        }
    }
}

} // namespace Hyssophall
