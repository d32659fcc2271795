#pragma once

#include "process/control/changeproposer.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssophall {

/// What a replica finds on its disk at its start.
struct StoredReplica {
    std::uint64_t diskIncarnation = 0;
    std::uint64_t term = 0;
    std::string votedFor;
    /// Without a position when none was taken.
    ControlMessages::StateSnapshot snapshot;
    /// Consecutive, from the one after the snapshot.
    std::vector<ControlMessages::Entry> entries;
};

/// Durable storage of a replica. What an operation stored is durable once it returned. Each fails with StorageFault.
class ReplicaStorage
{
public:
    virtual ~ReplicaStorage() = default;

    virtual boost::leaf::result<void> saveVote(std::uint64_t term, const std::string &votedFor) = 0;
    virtual boost::leaf::result<void> append(const std::vector<ControlMessages::Entry> &entries) = 0;

    /// Drops all entries after @p index.
    virtual boost::leaf::result<void> truncateAfter(std::uint64_t index) = 0;

    /// Replaces the snapshot, and the log by @p remaining, which follow it.
    virtual boost::leaf::result<void> saveSnapshot(const ControlMessages::StateSnapshot &snapshot, const std::vector<ControlMessages::Entry> &remaining) = 0;
};

} // namespace Hyssophall
