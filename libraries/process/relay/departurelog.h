#pragma once

#include "process/control/disk.h"
#include "process/relay/departurestore.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Hyssophall {

/**
 * Stores on disk which instances are draining or gone, so that a late registration doesn't bring one back after a restart.
 *
 * One thread writes. Registrations that arrive while it waits for the disk are written together. After a failure it writes the whole file anew, since a
 * failed append may have left a part of a record. If that fails, too, it cuts that part off and appends again, which needs no room for a second file. It
 * goes on until one of them succeeds. Records are dropped after an hour. Thread-safe.
 */
class DepartureLog : public DepartureStore
{
public:
    /// How long a registration may be on its way to a relay.
    static constexpr std::chrono::hours retention{1};
    /// Name of the file in the disk's folder.
    static constexpr const char *fileName = "departures";

    struct Hooks {
        std::function<std::chrono::system_clock::time_point()> systemClock;
        /// Called with what the file held, once it could be read: by start(), or later on the writing thread.
        std::function<void(const std::vector<RelayMessages::Registration> &)> loaded;
        /// Called on the writing thread whenever stored() has grown.
        std::function<void()> stored;
    };

    /// @p disk must outlive the log and isn't used by others.
    DepartureLog(Disk &disk, Hooks hooks);
    ~DepartureLog() override;
    DepartureLog(const DepartureLog &) = delete;
    DepartureLog &operator=(const DepartureLog &) = delete;

    /// Reads the file and starts the writing thread.
    void start();

    std::uint64_t add(const RelayMessages::Registration &registration) override;
    std::uint64_t stored() const override;

private:
    struct Record {
        std::chrono::system_clock::time_point recordedAt;
        RelayMessages::Registration registration;
    };

    static std::string encode(const Record &record);
    static bool decode(const std::string &payload, Record &record);

    void writeUntilStopped();
    // These are called by start() and by the writing thread only.
    bool load();
    bool write(const std::vector<Record> &batch);
    bool store(const std::vector<Record> &batch);
    boost::leaf::result<void> append(const std::vector<Record> &batch);
    boost::leaf::result<void> appendInPlace(const std::string &bytes);
    boost::leaf::result<void> rewrite();
    void dropExpired();

    Disk &disk;
    const Hooks hooks;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> stopping{false};
    std::uint64_t added = 0;
    std::vector<Record> queued;
    std::atomic<std::uint64_t> storedNumber{0};
    bool isLoaded = false;
    /// Whether the file may end in a part of a record, or doesn't exist.
    bool needsRewrite = true;
    /// Bytes of the file that hold whole records. Unknown while there is no file, and while it isn't known which of two is durable.
    std::optional<std::uint64_t> intactLength;
    bool isFailureLogged = false;
    std::size_t recordsInFile = 0;
    /// The latest record of each instance, by its id.
    std::map<std::string, Record> records;
    std::thread thread;
};

} // namespace Hyssophall
