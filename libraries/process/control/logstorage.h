#pragma once

#include "process/control/disk.h"
#include "process/control/replicastorage.h"

#include <cstddef>
#include <map>
#include <memory>

namespace Hyssophall {

/**
 * Stores a replica's term, vote, log and snapshot in one folder.
 *
 * Files: "state" (disk incarnation, term, vote, and the log's generation and synced length), "log-<generation>" and "snapshot".
 * All have xxHash64 checksums. "state" and "snapshot" are replaced atomically by renaming a new file. The synced length is stored before an
 * append is acknowledged, which costs a second sync, so that corruption of acknowledged entries can be distinguished from a torn write at the end
 * of the log.
 */
class LogStorage : public ReplicaStorage
{
public:
    /// Loads the folder's files. In an empty folder, creates them with a new disk incarnation. Errors: StorageError.
    static boost::leaf::result<std::unique_ptr<LogStorage>> create(Disk &disk, const RandomSource &random);

    /// Moves out the state that create() loaded, so that it isn't kept in memory twice.
    PersistentState takeLoadedState();

    boost::leaf::result<void> saveVote(std::uint64_t term, const std::string &votedFor) override;
    boost::leaf::result<void> append(const std::vector<ControlMessages::Entry> &entries) override;
    boost::leaf::result<void> truncateAfter(std::uint64_t index) override;
    boost::leaf::result<void> replaceAfter(std::uint64_t index, const std::vector<ControlMessages::Entry> &entries) override;
    boost::leaf::result<void> saveSnapshot(const ControlMessages::StateSnapshot &snapshot, const std::vector<ControlMessages::Entry> &remaining) override;

private:
    struct State {
        std::uint64_t diskIncarnation = 0;
        std::uint64_t term = 0;
        std::uint64_t generation = 0;
        std::uint64_t syncedLength = 0;
        std::string votedFor;
    };

    explicit LogStorage(Disk &disk);

    boost::leaf::result<void> load(const RandomSource &random);
    boost::leaf::result<void> createIncarnation(const RandomSource &random);
    boost::leaf::result<void> loadSnapshot();
    boost::leaf::result<void> loadLog();
    boost::leaf::result<void> repairTail(const std::string &bytes, std::size_t length);
    boost::leaf::result<void> dropEntriesCoveredBySnapshot();
    /// Length of the log file, in bytes, up to the entry with this index.
    std::uint64_t lengthUpTo(std::uint64_t index) const;
    boost::leaf::result<void> storeState(const State &next);
    boost::leaf::result<void> replaceFile(const std::string &name, const std::string &bytes);
    /// Writes and syncs a file that isn't in use yet. After a failure it is removed, so that a part of it doesn't take the last room on the disk.
    boost::leaf::result<void> writeNew(const std::string &name, const std::string &bytes);
    std::string logName(std::uint64_t generation) const;

    Disk &disk;
    State state;
    PersistentState loaded;
    /// End offset in the log file, in bytes, of each entry by index.
    std::map<std::uint64_t, std::uint64_t> entryEnds;
};

} // namespace Hyssophall
