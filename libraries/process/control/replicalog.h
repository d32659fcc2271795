#pragma once

#include "process/control/replicastorage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Hyssophall {

/// A replica's log in memory: its last snapshot and the entries after it. Not thread-safe.
class ReplicaLog
{
public:
    ReplicaLog() = default;
    ReplicaLog(ControlMessages::StateSnapshot snapshot, std::vector<ControlMessages::Entry> entries);

    const ControlMessages::StateSnapshot &snapshot() const;
    const std::vector<ControlMessages::Entry> &entries() const;

    /// Position of the last entry, or of the snapshot when there are no entries after it.
    ControlMessages::Position last() const;
    std::uint64_t lastIndex() const;
    std::uint64_t snapshotIndex() const;

    /// The term of the entry at an index. Nothing when the index precedes the snapshot or follows the last entry.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /// The entry at an index, or null when it isn't in the log. Valid until the next change of the log.
    const ControlMessages::Entry *find(std::uint64_t index) const;

    /// Entries after @p index with at most @p maximumBytes of serialized size, but at least one entry if there is one. @p index must not precede the snapshot.
    std::vector<ControlMessages::Entry> entriesAfter(std::uint64_t index, std::size_t maximumBytes) const;

    /// The last configuration in the log, committed or not. Its index is 0 when there is none.
    const ControlMessages::GroupConfiguration &configuration() const;
    std::uint64_t configurationIndex() const;

    /// The configuration that the last one replaced. The last one itself when the log doesn't go back that far.
    const ControlMessages::GroupConfiguration &previousConfiguration() const;

    void append(const ControlMessages::Entry &entry);
    void truncateAfter(std::uint64_t index);
    void replace(const ControlMessages::StateSnapshot &snapshot, std::vector<ControlMessages::Entry> remaining);

private:
    void findConfiguration();

    ControlMessages::StateSnapshot baseSnapshot;
    std::vector<ControlMessages::Entry> laterEntries;
    ControlMessages::GroupConfiguration lastConfiguration;
    std::uint64_t lastConfigurationIndex = 0;
};

} // namespace Hyssophall
