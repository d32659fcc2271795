#include "process/control/logstorage.h"

#include "process/control/checkedrecord.h"

#include <algorithm>
#include <utility>

namespace Hyssophall {

namespace {

const std::string stateName = "state";
const std::string snapshotName = "snapshot";

boost::leaf::error_id corruption(const std::string &name)
{
    return boost::leaf::new_error(StorageFault{StorageFault::Kind::Corrupted, name});
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

StoredReplica LogStorage::takeStored()
{
    return std::move(this->stored);
}

boost::leaf::result<void> LogStorage::load(const RandomSource &random)
{
    BOOST_LEAF_AUTO(bytes, this->disk.read(stateName));
    if (!bytes) {
        BOOST_LEAF_CHECK(this->startIncarnation(random));
    } else {
        std::size_t offset = 0;
        const std::optional<std::string> payload = CheckedRecord::next(*bytes, offset);
        if (!payload || payload->size() < 4 * sizeof(std::uint64_t)) {
            return corruption(stateName);
        }
        this->state.diskIncarnation = CheckedRecord::numberAt(*payload, 0);
        this->state.term = CheckedRecord::numberAt(*payload, 1);
        this->state.generation = CheckedRecord::numberAt(*payload, 2);
        this->state.syncedLength = CheckedRecord::numberAt(*payload, 3);
        this->state.votedFor = payload->substr(4 * sizeof(std::uint64_t));
    }
    BOOST_LEAF_CHECK(this->loadSnapshot());
    BOOST_LEAF_CHECK(this->loadLog());
    BOOST_LEAF_CHECK(this->dropCoveredEntries());
    this->stored.diskIncarnation = this->state.diskIncarnation;
    this->stored.term = this->state.term;
    this->stored.votedFor = this->state.votedFor;
    return {};
}

boost::leaf::result<void> LogStorage::startIncarnation(const RandomSource &random)
{
    // A log or a snapshot without a state means that the state was lost, together with the vote.
    BOOST_LEAF_AUTO(snapshotBytes, this->disk.read(snapshotName));
    BOOST_LEAF_AUTO(logBytes, this->disk.read(this->logName(0)));
    if (snapshotBytes || (logBytes && !logBytes->empty())) {
        return corruption(stateName);
    }
    State fresh;
    // Zero means "unknown" in messages.
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
    const std::optional<std::string> payload = CheckedRecord::next(*bytes, offset);
    if (!payload || !this->stored.snapshot.ParseFromString(*payload)) {
        return corruption(snapshotName);
    }
    return {};
}

boost::leaf::result<void> LogStorage::loadLog()
{
    const std::string name = this->logName(this->state.generation);
    BOOST_LEAF_AUTO(bytes, this->disk.read(name));
    if (!bytes || bytes->size() < this->state.syncedLength) {
        return corruption(name);
    }
    std::size_t offset = 0;
    while (offset < bytes->size()) {
        std::size_t next = offset;
        const std::optional<std::string> payload = CheckedRecord::next(*bytes, next);
        ControlMessages::Entry entry;
        const bool readable = payload && entry.ParseFromString(*payload);
        if (!readable || (!this->stored.entries.empty() && entry.index() != this->stored.entries.back().index() + 1)) {
            break;
        }
        offset = next;
        this->entryEnds[entry.index()] = offset;
        this->stored.entries.push_back(std::move(entry));
    }
    if (offset < this->state.syncedLength) {
        return corruption(name);
    }
    return this->keepTail(*bytes, offset);
}

boost::leaf::result<void> LogStorage::keepTail(const std::string &bytes, std::size_t length)
{
    const std::string name = this->logName(this->state.generation);
    if (length < bytes.size()) {
        BOOST_LEAF_CHECK(this->disk.truncate(name, length));
    }
    if (length == this->state.syncedLength && length == bytes.size()) {
        return {};
    }
    // The entries after the synced length are intact; they count as stored from now on.
    BOOST_LEAF_CHECK(this->disk.sync(name));
    State next = this->state;
    next.syncedLength = length;
    return this->storeState(next);
}

boost::leaf::result<void> LogStorage::dropCoveredEntries()
{
    const ControlMessages::Position &last = this->stored.snapshot.last();
    std::vector<ControlMessages::Entry> &entries = this->stored.entries;
    if (last.index() == 0) {
        // Only a snapshot replaces the first entries and the first log file.
        const bool isLost = this->state.generation > 0 || (!entries.empty() && entries.front().index() != 1);
        return isLost ? boost::leaf::result<void>(corruption(snapshotName)) : boost::leaf::result<void>();
    }
    if (entries.empty()) {
        return {};
    }
    // A crash between storing an installed snapshot and replacing the log leaves entries that may not follow the snapshot.
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
        bytes += CheckedRecord::of(entry.SerializeAsString());
        ends[entry.index()] = this->state.syncedLength + bytes.size();
    }
    const std::string name = this->logName(this->state.generation);
    BOOST_LEAF_CHECK(this->disk.append(name, bytes));
    BOOST_LEAF_CHECK(this->disk.sync(name));
    State next = this->state;
    next.syncedLength += bytes.size();
    BOOST_LEAF_CHECK(this->storeState(next));
    this->entryEnds.merge(ends);
    return {};
}

boost::leaf::result<void> LogStorage::truncateAfter(std::uint64_t index)
{
    const std::map<std::uint64_t, std::uint64_t>::const_iterator firstDropped = this->entryEnds.upper_bound(index);
    State next = this->state;
    next.syncedLength = firstDropped == this->entryEnds.begin() ? 0 : std::prev(firstDropped)->second;
    // The shorter length comes first: a crash in between leaves the old entries, which is a state that the log had before.
    BOOST_LEAF_CHECK(this->storeState(next));
    BOOST_LEAF_CHECK(this->disk.truncate(this->logName(next.generation), next.syncedLength));
    BOOST_LEAF_CHECK(this->disk.sync(this->logName(next.generation)));
    this->entryEnds.erase(firstDropped, this->entryEnds.end());
    return {};
}

boost::leaf::result<void> LogStorage::saveSnapshot(const ControlMessages::StateSnapshot &snapshot, const std::vector<ControlMessages::Entry> &remaining)
{
    BOOST_LEAF_CHECK(this->replaceFile(snapshotName, CheckedRecord::of(snapshot.SerializeAsString())));
    State next = this->state;
    ++next.generation;
    std::string bytes;
    std::map<std::uint64_t, std::uint64_t> ends;
    for (const ControlMessages::Entry &entry : remaining) {
        bytes += CheckedRecord::of(entry.SerializeAsString());
        ends[entry.index()] = bytes.size();
    }
    next.syncedLength = bytes.size();
    const std::string oldName = this->logName(this->state.generation);
    BOOST_LEAF_CHECK(this->disk.write(this->logName(next.generation), bytes));
    BOOST_LEAF_CHECK(this->disk.sync(this->logName(next.generation)));
    BOOST_LEAF_CHECK(this->disk.syncFolder());
    BOOST_LEAF_CHECK(this->storeState(next));
    this->entryEnds = std::move(ends);
    return this->disk.remove(oldName);
}

boost::leaf::result<void> LogStorage::storeState(const State &next)
{
    std::string payload;
    for (const std::uint64_t number : {next.diskIncarnation, next.term, next.generation, next.syncedLength}) {
        CheckedRecord::putNumber(payload, number);
    }
    BOOST_LEAF_CHECK(this->replaceFile(stateName, CheckedRecord::of(payload + next.votedFor)));
    this->state = next;
    return {};
}

boost::leaf::result<void> LogStorage::replaceFile(const std::string &name, const std::string &bytes)
{
    const std::string temporary = name + ".new";
    BOOST_LEAF_CHECK(this->disk.write(temporary, bytes));
    BOOST_LEAF_CHECK(this->disk.sync(temporary));
    BOOST_LEAF_CHECK(this->disk.rename(temporary, name));
    return this->disk.syncFolder();
}

std::string LogStorage::logName(std::uint64_t generation) const
{
    return "log-" + std::to_string(generation);
}

} // namespace Hyssophall
