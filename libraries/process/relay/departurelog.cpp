#include "process/relay/departurelog.h"

#include "process/control/checksummedrecord.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds retryInterval{200};
/// The file is written anew once it holds this many records more than twice those that are still needed.
constexpr std::size_t surplusRecords = 1024;

} // namespace

DepartureLog::DepartureLog(Disk &disk, Hooks hooks)
    : disk(disk)
    , hooks(std::move(hooks))
{
}

DepartureLog::~DepartureLog()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void DepartureLog::start()
{
    this->isLoaded = this->load();
    this->thread = std::thread([this] { this->writeUntilStopped(); });
}

std::uint64_t DepartureLog::add(const RelayMessages::Registration &registration)
{
    std::uint64_t number = 0;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->queued.push_back({this->hooks.systemClock(), registration});
        number = ++this->added;
    }
    this->changed.notify_all();
    return number;
}

std::uint64_t DepartureLog::stored() const
{
    return this->storedNumber;
}

std::string DepartureLog::encode(const Record &record)
{
    const std::chrono::milliseconds at = std::chrono::duration_cast<std::chrono::milliseconds>(record.recordedAt.time_since_epoch());
    std::string payload;
    ChecksummedRecord::appendNumber(payload, static_cast<std::uint64_t>(at.count()));
    return ChecksummedRecord::encode(payload + record.registration.SerializeAsString());
}

bool DepartureLog::decode(const std::string &payload, Record &record)
{
    if (payload.size() < sizeof(std::uint64_t)) {
        return false;
    }
    const std::chrono::milliseconds at(static_cast<std::int64_t>(ChecksummedRecord::numberAt(payload, 0)));
    record.recordedAt = std::chrono::system_clock::time_point(at);
    return record.registration.ParseFromString(payload.substr(sizeof(std::uint64_t)));
}

void DepartureLog::writeUntilStopped()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping) {
        this->changed.wait(lock, [this] { return this->stopping || !this->queued.empty(); });
        const std::vector<Record> batch = std::exchange(this->queued, {});
        const std::uint64_t number = this->added;
        lock.unlock();
        while (!this->stopping && !this->write(batch)) {
            lock.lock();
            this->changed.wait_for(lock, retryInterval, [this] { return this->stopping.load(); });
            lock.unlock();
        }
        lock.lock();
        if (!this->stopping) {
            this->storedNumber = number;
            lock.unlock();
            this->hooks.stored();
            lock.lock();
        }
    }
}

bool DepartureLog::load()
{
    std::vector<RelayMessages::Registration> registrations;
    const bool isRead = boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(bytes, this->disk.read(fileName));
            std::size_t offset = 0;
            if (bytes) {
                this->intactLength = 0;
            }
            while (bytes) {
                const std::optional<std::string> payload = ChecksummedRecord::decodeNext(*bytes, offset);
                Record record;
                if (!payload || !decode(*payload, record)) {
                    break;
                }
                this->records[record.registration.id()] = record;
                this->intactLength = offset;
            }
            return true;
        },
        [] { return false; });
    if (!isRead) {
        LOG(WARNING) << "The file with the instances that have left can't be read; trying again";
        return false;
    }
    // The process may have ended between a write and its sync, and what has been loaded is acknowledged without being written again.
    if (this->intactLength && (!this->disk.sync(fileName) || !this->disk.syncFolder())) {
        LOG(WARNING) << "The file with the instances that have left can't be synced; a loss of power may take back the last ones";
    }
    this->dropExpired();
    for (const std::pair<const std::string, Record> &entry : this->records) {
        registrations.push_back(entry.second.registration);
    }
    if (!registrations.empty()) {
        LOG(INFO) << "Instances that are known to be draining or gone from before the start: " << registrations.size();
        this->hooks.loaded(registrations);
    }
    return true;
}

bool DepartureLog::write(const std::vector<Record> &batch)
{
    this->isLoaded = this->isLoaded || this->load();
    // After load(), since these are newer than what the file held.
    for (const Record &record : batch) {
        this->records[record.registration.id()] = record;
    }
    const bool isWritten = this->isLoaded && this->store(batch);
    if (!isWritten && !this->isFailureLogged) {
        LOG(WARNING) << "Instances that leave can't be stored on this VM's disk; trying again";
    }
    this->isFailureLogged = !isWritten;
    return isWritten;
}

bool DepartureLog::store(const std::vector<Record> &batch)
{
    const bool hasSurplus = this->recordsInFile > 2 * this->records.size() + surplusRecords;
    if ((this->needsRewrite || hasSurplus) && this->rewrite()) {
        return true;
    }
    return static_cast<bool>(this->append(batch));
}

boost::leaf::result<void> DepartureLog::append(const std::vector<Record> &batch)
{
    if (!this->intactLength) {
        return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, fileName});
    }
    std::string bytes;
    for (const Record &record : batch) {
        bytes += encode(record);
    }
    if (!this->appendInPlace(bytes)) {
        this->needsRewrite = true;
        // Otherwise the part that was written might take the last room on the disk.
        static_cast<void>(this->disk.truncate(fileName, *this->intactLength));
        return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, fileName});
    }
    this->needsRewrite = false;
    this->intactLength = *this->intactLength + bytes.size();
    this->recordsInFile += batch.size();
    return {};
}

boost::leaf::result<void> DepartureLog::appendInPlace(const std::string &bytes)
{
    if (this->needsRewrite) {
        BOOST_LEAF_CHECK(this->disk.truncate(fileName, *this->intactLength));
    }
    BOOST_LEAF_CHECK(this->disk.append(fileName, bytes));
    return this->disk.sync(fileName);
}

boost::leaf::result<void> DepartureLog::rewrite()
{
    this->dropExpired();
    const std::string newName = std::string(fileName) + ".new";
    std::string bytes;
    for (const std::pair<const std::string, Record> &entry : this->records) {
        bytes += encode(entry.second);
    }
    if (!this->disk.write(newName, bytes) || !this->disk.sync(newName)) {
        static_cast<void>(this->disk.remove(newName));
        return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, newName});
    }
    this->needsRewrite = true;
    this->intactLength.reset();
    BOOST_LEAF_CHECK(this->disk.rename(newName, fileName));
    BOOST_LEAF_CHECK(this->disk.syncFolder());
    this->needsRewrite = false;
    this->intactLength = bytes.size();
    this->recordsInFile = this->records.size();
    return {};
}

void DepartureLog::dropExpired()
{
    const std::chrono::system_clock::time_point oldest = this->hooks.systemClock() - retention;
    std::erase_if(this->records, [oldest](const std::pair<const std::string, Record> &entry) { return entry.second.recordedAt < oldest; });
}

} // namespace Hyssophall
