#include "process/relay/departurelog.h"

#include "unit/process/control/simulateddisk.h"
#include "unit/process/relay/registrations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <set>

using namespace Hyssophall;
using HyssophallTest::registrationOf;

namespace {

/// A departure log on a simulated disk, as one process runs it.
class Process
{
public:
    Process(Disk &disk, std::chrono::system_clock::time_point now)
        : log(disk, this->hooks(now))
    {
        this->log.start();
    }

    bool awaitStored(std::uint64_t number, std::chrono::milliseconds timeout = std::chrono::seconds(5))
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        return this->changed.wait_for(lock, timeout, [this, number] { return this->log.stored() >= number; });
    }

    std::map<std::string, RelayMessages::Registration> loaded;
    std::mutex mutex;
    std::condition_variable changed;
    DepartureLog log;

private:
    DepartureLog::Hooks hooks(std::chrono::system_clock::time_point now)
    {
        DepartureLog::Hooks hooks;
        hooks.systemClock = [now] { return now; };
        hooks.loaded = [this](const std::vector<RelayMessages::Registration> &registrations) {
            for (const RelayMessages::Registration &registration : registrations) {
                this->loaded[registration.id()] = registration;
            }
        };
        hooks.stored = [this] {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->changed.notify_all();
        };
        return hooks;
    }
};

RelayMessages::Registration goneInstance(const std::string &id, std::uint64_t sequence = 2)
{
    RelayMessages::Registration gone = registrationOf(id, 1, sequence);
    gone.set_state(RelayMessages::REGISTRATION_STATE_GONE);
    return gone;
}

const std::chrono::system_clock::time_point noon = std::chrono::system_clock::time_point(std::chrono::hours(12));

} // namespace

// Guards against an acknowledged leave that a loss of power, a torn write or a failing disk takes back.
CATCH_TEST_CASE("What the departure log has stored survives any loss of power", "[relay][leaving-upstream]")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CATCH_CAPTURE(seed);
        SimulatedDisk disk(seed);
        std::map<std::string, std::uint64_t> acknowledged;
        std::mt19937_64 random(seed);
        for (int start = 0; start < 4; ++start) {
            {
                Process process(disk, noon);
                for (const auto &[id, sequence] : acknowledged) {
                    CATCH_REQUIRE(process.loaded.contains(id));
                    CATCH_CHECK(process.loaded.at(id).sequence() >= sequence);
                }
                for (int number = 0; number < 6; ++number) {
                    if (random() % 8 == 0) {
                        disk.failAt(1 + random() % 4);
                    }
                    const std::string id = "i-" + std::to_string(random() % 5);
                    const std::uint64_t sequence = static_cast<std::uint64_t>(start * 10 + number);
                    const std::uint64_t added = process.log.add(goneInstance(id, sequence));
                    if (!process.awaitStored(added, disk.hasFailed() ? std::chrono::milliseconds(10) : std::chrono::milliseconds(300))) {
                        break;
                    }
                    acknowledged[id] = sequence;
                }
            }
            disk.crash();
        }
    }
}

// Guards against a relay that never confirms a leave again after its disk has failed for a while.
CATCH_TEST_CASE("The departure log stores what was added while its disk failed", "[relay][leaving-upstream]")
{
    SimulatedDisk disk(1);
    {
        Process process(disk, noon);
        CATCH_REQUIRE(process.awaitStored(process.log.add(goneInstance("i-1"))));
        disk.failAt(1);
        const std::uint64_t added = process.log.add(goneInstance("i-2"));
        CATCH_CHECK_FALSE(process.awaitStored(added, std::chrono::milliseconds(100)));
        disk.crash();
        CATCH_CHECK(process.awaitStored(added));
    }
    disk.crash();
    Process next(disk, noon);
    CATCH_CHECK(next.loaded.size() == 2);
}

// Guards against a leave that was written but not synced before its process ended, and that counts as stored after the restart: it is acknowledged again
// without being written.
CATCH_TEST_CASE("What a start of the departure log has loaded survives a loss of power", "[relay][leaving-upstream]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CATCH_CAPTURE(seed);
        SimulatedDisk disk(seed);
        {
            Process process(disk, noon);
            CATCH_REQUIRE(process.awaitStored(process.log.add(goneInstance("i-1"))));
            disk.failAt(2);
            CATCH_REQUIRE_FALSE(process.awaitStored(process.log.add(goneInstance("i-2")), std::chrono::milliseconds(20)));
        }
        disk.recover();
        std::size_t loaded = 0;
        {
            const Process process(disk, noon);
            loaded = process.loaded.size();
        }
        disk.crash();
        const Process process(disk, noon);
        CATCH_CHECK(process.loaded.size() >= loaded);
    }
}

// Guards against leaves that are never acknowledged after a failure, since the file has grown and doesn't fit on the disk a second time.
CATCH_TEST_CASE("The departure log stores on a disk that has no room for a second file", "[relay][leaving-upstream]")
{
    constexpr std::size_t roomForOne = 1000;
    SimulatedDisk disk(1);
    {
        Process process(disk, noon);
        for (std::uint64_t number = 1; number <= 200; ++number) {
            process.log.add(goneInstance("i-" + std::to_string(number)));
        }
        CATCH_REQUIRE(process.awaitStored(200));
        const std::size_t used = disk.used();
        CATCH_REQUIRE(used > 2 * roomForOne);
        disk.limitTo(used + 10);
        const std::uint64_t added = process.log.add(goneInstance("late"));
        CATCH_CHECK_FALSE(process.awaitStored(added, std::chrono::milliseconds(100)));
        disk.limitTo(used + roomForOne);
        CATCH_CHECK(process.awaitStored(added, std::chrono::seconds(2)));
        CATCH_CHECK(process.awaitStored(process.log.add(goneInstance("later")), std::chrono::seconds(2)));
    }
    disk.crash();
    {
        // The file is whole after a start, too, and the first record after it fits.
        Process process(disk, noon);
        CATCH_CHECK(process.loaded.size() == 202);
        CATCH_CHECK(process.awaitStored(process.log.add(goneInstance("after")), std::chrono::seconds(2)));
    }
    disk.crash();
    Process process(disk, noon);
    CATCH_CHECK(process.loaded.size() == 203);
}

// Guards against a file that grows without bound, and against records that are dropped while a registration can still be on its way.
CATCH_TEST_CASE("The departure log drops records after the retention time and keeps its file small", "[relay][leaving-upstream]")
{
    SimulatedDisk disk(1);
    {
        Process process(disk, noon);
        for (std::uint64_t number = 1; number <= 3000; ++number) {
            process.log.add(goneInstance("i-" + std::to_string(number % 3), number));
            if (number % 100 == 0) {
                CATCH_REQUIRE(process.awaitStored(number));
            }
        }
    }
    CATCH_CHECK(disk.content(DepartureLog::fileName).size() < 200 * 1200);
    {
        Process process(disk, noon + DepartureLog::retention - std::chrono::minutes(1));
        CATCH_CHECK(process.loaded.size() == 3);
    }
    Process process(disk, noon + DepartureLog::retention + std::chrono::minutes(1));
    CATCH_CHECK(process.loaded.empty());
}

// Guards against a leave that a majority of five relays has stored and that is unknown after two of them lose their disks while the others lose power.
CATCH_TEST_CASE("A leave that a majority has stored survives the loss of two disks of five while the others lose power", "[relay][leaving-upstream]")
{
    constexpr std::size_t relays = 5;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CATCH_CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::vector<std::unique_ptr<SimulatedDisk>> disks;
        std::set<std::string> acknowledged;
        {
            std::vector<std::unique_ptr<Process>> processes;
            for (std::size_t relay = 0; relay < relays; ++relay) {
                disks.push_back(std::make_unique<SimulatedDisk>(random()));
                processes.push_back(std::make_unique<Process>(*disks.back(), noon));
            }
            for (int number = 0; number < 6; ++number) {
                if (random() % 2 == 0) {
                    disks[random() % relays]->failAt(1 + random() % 4);
                }
                const std::string id = "i-" + std::to_string(number);
                std::vector<std::uint64_t> added;
                for (const std::unique_ptr<Process> &process : processes) {
                    added.push_back(process->log.add(goneInstance(id)));
                }
                std::size_t stored = 0;
                for (std::size_t relay = 0; relay < relays; ++relay) {
                    stored += processes[relay]->awaitStored(added[relay], std::chrono::milliseconds(disks[relay]->hasFailed() ? 1 : 300)) ? 1 : 0;
                }
                if (stored > relays / 2) {
                    acknowledged.insert(id);
                }
            }
        }
        CATCH_CHECK_FALSE(acknowledged.empty());
        std::shuffle(disks.begin(), disks.end(), random);
        disks.resize(relays - 2);
        std::set<std::string> known;
        for (const std::unique_ptr<SimulatedDisk> &disk : disks) {
            disk->crash();
            Process process(*disk, noon);
            for (const std::pair<const std::string, RelayMessages::Registration> &entry : process.loaded) {
                known.insert(entry.first);
            }
        }
        CATCH_CHECK(std::includes(known.begin(), known.end(), acknowledged.begin(), acknowledged.end()));
    }
}
