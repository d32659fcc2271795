#include "process/control/logstorage.h"

#include "process/control/checksummedrecord.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

const std::string stateName = "state";
const std::string snapshotName = "snapshot";

boost::leaf::error_id corruptionError(const std::string &name)
{
    return boost::leaf::new_error(StorageError{StorageError::Kind::Corrupted, name});
}

boost::leaf::error_id failedError(const std::string &name)
{
    return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, name});
}

} // namespace

LogStorage::LogStorage(Disk &disk)
    : disk(disk)
{
}

boost::leaf::result<std::unique_ptr<LogStorage>> LogStorage::create(Disk &disk, const RandomSource &random)
{
    std::unique_ptr<LogStorage> storage(new LogStorage(disk));
    BOOST_LEAF_CHECK(storage->load(random));
    return storage;
}

PersistentState LogStorage::takeLoadedState()
{
    return std::move(this->loaded);
}

boost::leaf::result<void> LogStorage::load(const RandomSource &random)
{
    BOOST_LEAF_AUTO(bytes, this->disk.read(stateName));
    if (!bytes) {
        BOOST_LEAF_CHECK(this->createIncarnation(random));
    } else {
        std::size_t offset = 0;
        const std::optional<std::string> payload = ChecksummedRecord::decodeNext(*bytes, offset);
        if (!payload || payload->size() < 4 * sizeof(std::uint64_t)) {
            return corruptionError(stateName);
        }
        this->state.diskIncarnation = ChecksummedRecord::numberAt(*payload, 0);
        this->state.term = ChecksummedRecord::numberAt(*payload, 1);
        this->state.generation = ChecksummedRecord::numberAt(*payload, 2);
        this->state.syncedLength = ChecksummedRecord::numberAt(*payload, 3);
        this->state.votedFor = payload->substr(4 * sizeof(std::uint64_t));
    }
    BOOST_LEAF_CHECK(this->loadSnapshot());
    BOOST_LEAF_CHECK(this->loadLog());
    BOOST_LEAF_CHECK(this->dropEntriesCoveredBySnapshot());
    this->loaded.diskIncarnation = this->state.diskIncarnation;
    this->loaded.term = this->state.term;
    this->loaded.votedFor = this->state.votedFor;
    return {};
}

boost::leaf::result<void> LogStorage::createIncarnation(const RandomSource &random)
{
    // A log or snapshot without a state file means that the state file was lost, and the stored vote with it.
    BOOST_LEAF_AUTO(snapshotBytes, this->disk.read(snapshotName));
    BOOST_LEAF_AUTO(logBytes, this->disk.read(this->logName(0)));
    if (snapshotBytes || (logBytes && !logBytes->empty())) {
        return corruptionError(stateName);
    }
    State fresh;
    // In messages, 0 means that the incarnation is unknown.
    fresh.diskIncarnation = std::max<std::uint64_t>(1, random());
    BOOST_LEAF_CHECK(this->disk.write(this->logName(0), ""));
    BOOST_LEAF_CHECK(this->disk.sync(this->logName(0)));
    BOOST_LEAF_CHECK(this->disk.syncFolder());
    return this->storeState(fresh);
}

boost::leaf::result<void> LogStorage::loadSnapshot()
{
    BOOST_LEAF_AUTO(bytes, this->disk.read(snapshotName));
    if (!bytes) {
        return {};
    }
    std::size_t offset = 0;
    const std::optional<std::string> payload = ChecksummedRecord::decodeNext(*bytes, offset);
    if (!payload || !this->loaded.snapshot.ParseFromString(*payload)) {
        return corruptionError(snapshotName);
    }
    return {};
}

boost::leaf::result<void> LogStorage::loadLog()
{
    const std::string name = this->logName(this->state.generation);
    BOOST_LEAF_AUTO(bytes, this->disk.read(name));
    if (!bytes || bytes->size() < this->state.syncedLength) {
        return corruptionError(name);
    }
    std::size_t offset = 0;
    while (offset < bytes->size()) {
        std::size_t next = offset;
        const std::optional<std::string> payload = ChecksummedRecord::decodeNext(*bytes, next);
        ControlMessages::Entry entry;
        const bool readable = payload && entry.ParseFromString(*payload);
        if (!readable || (!this->loaded.entries.empty() && entry.index() != this->loaded.entries.back().index() + 1)) {
            break;
        }
        offset = next;
        this->entryEnds[entry.index()] = offset;
        this->loaded.entries.push_back(std::move(entry));
    }
    if (offset < this->state.syncedLength) {
        return corruptionError(name);
    }
    return this->repairTail(*bytes, offset);
}

boost::leaf::result<void> LogStorage::repairTail(const std::string &bytes, std::size_t length)
{
    const std::string name = this->logName(this->state.generation);
    if (length < bytes.size()) {
        BOOST_LEAF_CHECK(this->disk.truncate(name, length));
    }
    if (length == this->state.syncedLength && length == bytes.size()) {
        return {};
    }
    // Intact entries after the synced length were written before a crash. They are synced and kept.
    BOOST_LEAF_CHECK(this->disk.sync(name));
    State next = this->state;
    next.syncedLength = length;
    return this->storeState(next);
}

boost::leaf::result<void> LogStorage::dropEntriesCoveredBySnapshot()
{
    const ControlMessages::Position &last = this->loaded.snapshot.last();
    std::vector<ControlMessages::Entry> &entries = this->loaded.entries;
    if (last.index() == 0) {
        // Without a snapshot, the log starts at index 1 and has generation 0. Anything else means that the snapshot was lost.
        const bool isLost = this->state.generation > 0 || (!entries.empty() && entries.front().index() != 1);
        return isLost ? boost::leaf::result<void>(corruptionError(snapshotName)) : boost::leaf::result<void>();
    }
    if (entries.empty()) {
        return {};
    }
    // After a crash between storing an installed snapshot and replacing the log, the log may overlap the snapshot or leave a gap after it.
    const std::uint64_t first = entries.front().index();
    const bool follows = first == last.index() + 1;
    const bool contains = first <= last.index() && last.index() <= entries.back().index() && entries[last.index() - first].term() == last.term();
    if (contains) {
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(last.index() - first + 1));
    } else if (!follows) {
        BOOST_LEAF_CHECK(this->truncateAfter(0));
        entries.clear();
    }
    return {};
}

boost::leaf::result<void> LogStorage::saveVote(std::uint64_t term, const std::string &votedFor)
{
    State next = this->state;
    next.term = term;
    next.votedFor = votedFor;
    return this->storeState(next);
}

boost::leaf::result<void> LogStorage::append(const std::vector<ControlMessages::Entry> &entries)
{
    std::string bytes;
    std::map<std::uint64_t, std::uint64_t> ends;
    for (const ControlMessages::Entry &entry : entries) {
        bytes += ChecksummedRecord::encode(entry.SerializeAsString());
        ends[entry.index()] = this->state.syncedLength + bytes.size();
    }
    const std::string name = this->logName(this->state.generation);
    if (!this->disk.append(name, bytes) || !this->disk.sync(name)) {
        // Otherwise the part that was written might take the last room on the disk. No entry after the synced length is acknowledged.
        static_cast<void>(this->disk.truncate(name, this->state.syncedLength));
        return failedError(name);
    }
    State next = this->state;
    next.syncedLength += bytes.size();
    BOOST_LEAF_CHECK(this->storeState(next));
    this->entryEnds.merge(ends);
    return {};
}

boost::leaf::result<void> LogStorage::truncateAfter(std::uint64_t index)
{
    State next = this->state;
    next.syncedLength = this->lengthUpTo(index);
    // The shorter length is stored before the file is truncated. A crash in between leaves the old entries, which is the valid state from before.
    BOOST_LEAF_CHECK(this->storeState(next));
    BOOST_LEAF_CHECK(this->disk.truncate(this->logName(next.generation), next.syncedLength));
    BOOST_LEAF_CHECK(this->disk.sync(this->logName(next.generation)));
    this->entryEnds.erase(this->entryEnds.upper_bound(index), this->entryEnds.end());
    return {};
}

boost::leaf::result<void> LogStorage::replaceAfter(std::uint64_t index, const std::vector<ControlMessages::Entry> &entries)
{
    const std::string name = this->logName(this->state.generation);
    BOOST_LEAF_AUTO(former, this->disk.read(name));
    State next = this->state;
    next.syncedLength = this->lengthUpTo(index);
    if (!former || former->size() < next.syncedLength) {
        return corruptionError(name);
    }
    std::string bytes = former->substr(0, next.syncedLength);
    std::map<std::uint64_t, std::uint64_t> ends;
    for (const ControlMessages::Entry &entry : entries) {
        bytes += ChecksummedRecord::encode(entry.SerializeAsString());
        ends[entry.index()] = bytes.size();
    }
    // A file may be longer than the stored length, but not shorter.
    BOOST_LEAF_CHECK(this->storeState(next));
    BOOST_LEAF_CHECK(this->replaceFile(name, bytes));
    next.syncedLength = bytes.size();
    BOOST_LEAF_CHECK(this->storeState(next));
    this->entryEnds.erase(this->entryEnds.upper_bound(index), this->entryEnds.end());
    this->entryEnds.merge(ends);
    return {};
}

std::uint64_t LogStorage::lengthUpTo(std::uint64_t index) const
{
    const std::map<std::uint64_t, std::uint64_t>::const_iterator next = this->entryEnds.upper_bound(index);
    return next == this->entryEnds.begin() ? 0 : std::prev(next)->second;
}

boost::leaf::result<void> LogStorage::saveSnapshot(const ControlMessages::StateSnapshot &snapshot, const std::vector<ControlMessages::Entry> &remaining)
{
    BOOST_LEAF_CHECK(this->replaceFile(snapshotName, ChecksummedRecord::encode(snapshot.SerializeAsString())));
    State next = this->state;
    ++next.generation;
    std::string bytes;
    std::map<std::uint64_t, std::uint64_t> ends;
    for (const ControlMessages::Entry &entry : remaining) {
        bytes += ChecksummedRecord::encode(entry.SerializeAsString());
        ends[entry.index()] = bytes.size();
    }
    next.syncedLength = bytes.size();
    const std::string oldName = this->logName(this->state.generation);
    BOOST_LEAF_CHECK(this->writeNew(this->logName(next.generation), bytes));
    BOOST_LEAF_CHECK(this->disk.syncFolder());
    BOOST_LEAF_CHECK(this->storeState(next));
    this->entryEnds = std::move(ends);
    return this->disk.remove(oldName);
}

boost::leaf::result<void> LogStorage::storeState(const State &next)
{
    std::string payload;
    for (const std::uint64_t number : {next.diskIncarnation, next.term, next.generation, next.syncedLength}) {
        ChecksummedRecord::appendNumber(payload, number);
    }
    BOOST_LEAF_CHECK(this->replaceFile(stateName, ChecksummedRecord::encode(payload + next.votedFor)));
    this->state = next;
    return {};
}

boost::leaf::result<void> LogStorage::replaceFile(const std::string &name, const std::string &bytes)
{
    const std::string temporary = name + ".new";
    BOOST_LEAF_CHECK(this->writeNew(temporary, bytes));
    BOOST_LEAF_CHECK(this->disk.rename(temporary, name));
    return this->disk.syncFolder();
}

boost::leaf::result<void> LogStorage::writeNew(const std::string &name, const std::string &bytes)
{
    if (!this->disk.write(name, bytes) || !this->disk.sync(name)) {
        static_cast<void>(this->disk.remove(name));
        return failedError(name);
    }
    return {};
}

std::string LogStorage::logName(std::uint64_t generation) const
{
    return "log-" + std::to_string(generation);
}

} // namespace Hyssophall
