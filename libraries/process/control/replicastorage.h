#pragma once

#include "process/control/changeproposer.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssophall {

/// A replica's durable state, as loaded at its start.
struct PersistentState {
    std::uint64_t diskIncarnation = 0;
    std::uint64_t term = 0;
    std::string votedFor;
    /// Its position has index 0 when there is no snapshot.
    ControlMessages::StateSnapshot snapshot;
    /// The entries after the snapshot, with consecutive indexes.
    std::vector<ControlMessages::Entry> entries;
};

/// Durable storage of a replica. The effect of an operation is durable when it returns without an error. Errors: StorageError.
class ReplicaStorage
{
public:
    virtual ~ReplicaStorage() = default;

    virtual boost::leaf::result<void> saveVote(std::uint64_t term, const std::string &votedFor) = 0;
    virtual boost::leaf::result<void> append(const std::vector<ControlMessages::Entry> &entries) = 0;

    /// Removes all entries after @p index.
    virtual boost::leaf::result<void> truncateAfter(std::uint64_t index) = 0;

    /// Replaces all entries after @p index. After a failure, the disk holds either the former or all of the new entries.
    virtual boost::leaf::result<void> replaceAfter(std::uint64_t index, const std::vector<ControlMessages::Entry> &entries) = 0;

    /// Replaces the snapshot, and the log's entries by @p remaining, the entries after the snapshot.
    virtual boost::leaf::result<void> saveSnapshot(const ControlMessages::StateSnapshot &snapshot, const std::vector<ControlMessages::Entry> &remaining) = 0;
};

} // namespace Hyssophall
