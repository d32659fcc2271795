#include "process/control/logstorage.h"
#include "process/control/posixdisk.h"
#include "unit/process/control/simulateddisk.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <unistd.h>

using namespace Hyssophall;

namespace {

std::uint64_t fixedRandom()
{
    return 42;
}

std::vector<ControlMessages::Entry> entriesFrom(std::uint64_t first, std::uint64_t last)
{
    std::vector<ControlMessages::Entry> entries;
    for (std::uint64_t index = first; index <= last; ++index) {
        ControlMessages::Entry entry;
        entry.set_term(1);
        entry.set_index(index);
        entry.mutable_change()->set_change_id("change " + std::to_string(index));
        entries.push_back(entry);
    }
    return entries;
}

bool isCorrupted(Disk &disk)
{
    return boost::leaf::try_handle_all(
        [&disk]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(LogStorage::create(disk, fixedRandom));
            return false;
        },
        [](const StorageError &error) { return error.kind == StorageError::Kind::Corrupted; },
        [] { return false; });
}

} // namespace

CATCH_TEST_CASE("A torn write at the end of the log is truncated, and a changed byte before it is reported as corruption", "[control-log]")
{
    // Guards against loading entries that changed on the disk, and against reporting the incomplete write that a crash leaves as corruption.
    SimulatedDisk disk(1);
    CATCH_REQUIRE(LogStorage::create(disk, fixedRandom).value()->append(entriesFrom(1, 5)));
    const std::string intact = disk.content("log-0");
    disk.content("log-0") = intact + "torn";
    CATCH_REQUIRE(LogStorage::create(disk, fixedRandom).value()->takeLoadedState().entries.size() == 5);
    CATCH_REQUIRE(disk.content("log-0") == intact);

    for (std::size_t position = 0; position < intact.size(); ++position) {
        disk.content("log-0")[position] = static_cast<char>(intact[position] ^ 4);
        CATCH_REQUIRE(isCorrupted(disk));
        disk.content("log-0") = intact;
    }
    disk.content("log-0").pop_back();
    CATCH_REQUIRE(isCorrupted(disk));
}

CATCH_TEST_CASE("A folder without its state file isn't treated as empty", "[control-log]")
{
    // Guards against a replica that lost its stored vote and continues as the same replica: it could vote twice in one term.
    SimulatedDisk disk(1);
    CATCH_REQUIRE(LogStorage::create(disk, fixedRandom).value()->append(entriesFrom(1, 2)));
    CATCH_REQUIRE(disk.remove("state"));
    CATCH_REQUIRE(isCorrupted(disk));
}

CATCH_TEST_CASE("Files on a real disk return the stored state", "[control-log]")
{
    // Guards against faults in PosixDisk, which the tests with a simulated disk don't use.
    const std::string folder = (std::filesystem::temp_directory_path() / ("hyssophall-logstorage-test-" + std::to_string(getpid()))).string();
    std::filesystem::remove_all(folder);
    PosixDisk disk(folder);
    {
        std::unique_ptr<LogStorage> storage = std::move(LogStorage::create(disk, fixedRandom).value());
        CATCH_REQUIRE(storage->saveVote(3, "vm-1"));
        CATCH_REQUIRE(storage->append(entriesFrom(1, 9)));
        CATCH_REQUIRE(storage->truncateAfter(7));
        ControlMessages::StateSnapshot snapshot;
        snapshot.mutable_last()->set_index(4);
        snapshot.mutable_last()->set_term(1);
        CATCH_REQUIRE(storage->saveSnapshot(snapshot, entriesFrom(5, 7)));
        CATCH_REQUIRE(storage->append(entriesFrom(8, 8)));
    }
    const PersistentState stored = LogStorage::create(disk, fixedRandom).value()->takeLoadedState();
    CATCH_REQUIRE(stored.diskIncarnation == 42);
    CATCH_REQUIRE(stored.term == 3);
    CATCH_REQUIRE(stored.votedFor == "vm-1");
    CATCH_REQUIRE(stored.snapshot.last().index() == 4);
    CATCH_REQUIRE(stored.entries.size() == 4);
    CATCH_REQUIRE(stored.entries.back().change().change_id() == "change 8");
    std::filesystem::remove_all(folder);
}

// Guards against a log that ends before both the former and the new entries after a failure, so that it lacks entries that were acknowledged.
CATCH_TEST_CASE("Replacing entries leaves the former or the new ones after a failure at any operation", "[control-log]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        bool hasFailed = true;
        for (std::uint64_t operation = 1; hasFailed; ++operation) {
            CATCH_CAPTURE(seed, operation);
            CATCH_REQUIRE(operation < 100);
            SimulatedDisk disk(seed);
            std::unique_ptr<LogStorage> storage = std::move(LogStorage::create(disk, fixedRandom).value());
            CATCH_REQUIRE(storage->append(entriesFrom(1, 9)));
            std::vector<ControlMessages::Entry> replacing = entriesFrom(6, 7);
            for (ControlMessages::Entry &entry : replacing) {
                entry.set_term(2);
            }
            disk.failAt(operation);
            const bool isStored = static_cast<bool>(storage->replaceAfter(5, replacing));
            hasFailed = disk.hasFailed();
            CATCH_REQUIRE(isStored != hasFailed);
            if (seed % 2 == 0) {
                disk.crash();
            } else {
                disk.recover();
            }
            const std::vector<ControlMessages::Entry> loaded = LogStorage::create(disk, fixedRandom).value()->takeLoadedState().entries;
            const bool isNew = loaded.back().term() == 2;
            CATCH_CHECK(loaded.size() == (isNew ? 7 : 9));
            CATCH_CHECK((isNew || !isStored));
        }
    }
}
