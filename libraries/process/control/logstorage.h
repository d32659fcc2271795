#pragma once

#include "process/control/disk.h"
#include "process/control/replicastorage.h"

#include <cstddef>
#include <map>
#include <memory>

namespace Hyssophall {

/**
 * Keeps a replica's term, vote, log and snapshot in one folder.
 *
 * Files: "state" (disk incarnation, term, vote, and the log's generation and synced length), "log-<generation>" and "snapshot".
 * All carry xxHash64 checksums. "state" and "snapshot" are replaced by renaming. The synced length is stored before an append
 * is acknowledged, which costs a second sync, so that corruption of acknowledged entries is told from a torn tail.
 */
class LogStorage : public ReplicaStorage
{
public:
    /// Opens the folder, or starts a new disk incarnation in an empty one. Errors: StorageFault.
    static boost::leaf::result<std::unique_ptr<LogStorage>> create(Disk &disk, const RandomSource &random);

    /// What the disk held; moved out, so that it is in memory once.
    StoredReplica takeStored();

    boost::leaf::result<void> saveVote(std::uint64_t term, const std::string &votedFor) override;
    boost::leaf::result<void> append(const std::vector<ControlMessages::Entry> &entries) override;
    boost::leaf::result<void> truncateAfter(std::uint64_t index) override;
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
    boost::leaf::result<void> startIncarnation(const RandomSource &random);
    boost::leaf::result<void> loadSnapshot();
    boost::leaf::result<void> loadLog();
    boost::leaf::result<void> keepTail(const std::string &bytes, std::size_t length);
    boost::leaf::result<void> dropCoveredEntries();
    boost::leaf::result<void> storeState(const State &next);
    boost::leaf::result<void> replaceFile(const std::string &name, const std::string &bytes);
    std::string logName(std::uint64_t generation) const;

    Disk &disk;
    State state;
    StoredReplica stored;
    /// Offset in the log file at which the entry with this index ends.
    std::map<std::uint64_t, std::uint64_t> entryEnds;
};

} // namespace Hyssophall
