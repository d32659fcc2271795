#include "fuzz/mutator.h"
#include "process/cataloguefile.h"
#include "process/control/logstorage.h"
#include "process/control/posixdisk.h"
#include "unit/process/control/simulateddisk.h"
#include "version/catalogue.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace Hyssophall;
using HyssophallTest::Mutator;

namespace {

std::uint64_t fixedRandom()
{
    return 42;
}

ControlMessages::Entry entryAt(std::uint64_t index)
{
    ControlMessages::Entry entry;
    entry.set_term(1);
    entry.set_index(index);
    entry.mutable_change()->set_change_id("change " + std::to_string(index));
    return entry;
}

/// A disk with a snapshot up to entry 3 and a log with the entries 4 to 6.
void fillDisk(SimulatedDisk &disk)
{
    const std::unique_ptr<LogStorage> storage = LogStorage::create(disk, fixedRandom).value();
    CATCH_REQUIRE(storage->append({entryAt(1), entryAt(2), entryAt(3), entryAt(4)}));
    ControlMessages::StateSnapshot snapshot;
    snapshot.mutable_last()->set_term(1);
    snapshot.mutable_last()->set_index(3);
    CATCH_REQUIRE(storage->saveSnapshot(snapshot, {entryAt(4)}));
    CATCH_REQUIRE(storage->append({entryAt(5), entryAt(6)}));
}

/// "read", "corrupted", "failed" or "untyped".
std::string outcomeOf(Disk &disk)
{
    return boost::leaf::try_handle_all(
        [&disk]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(storage, LogStorage::create(disk, fixedRandom));
            const PersistentState stored = storage->takeLoadedState();
            for (std::size_t position = 0; position < stored.entries.size(); ++position) {
                CATCH_REQUIRE(stored.entries[position].SerializeAsString() == entryAt(stored.snapshot.last().index() + position + 1).SerializeAsString());
            }
            return std::string("read");
        },
        [](const StorageError &fault) { return std::string(fault.kind == StorageError::Kind::Corrupted ? "corrupted" : "failed"); },
        [] { return std::string("untyped"); });
}

std::string newFolder()
{
    std::string folder = (std::filesystem::temp_directory_path() / "hyssophall-fuzz-XXXXXX").string();
    CATCH_REQUIRE(mkdtemp(folder.data()) != nullptr);
    return folder;
}

} // namespace

// Guards against changed files of the control log that crash the replica at its start or give it entries that were never written.
CATCH_TEST_CASE("Mutated files of the control log are read or refused as corrupted", "[fuzz][control-log]")
{
    Mutator mutator(4);
    int refused = 0;
    for (int round = 0; round < 1500; ++round) {
        SimulatedDisk disk(1);
        fillDisk(disk);
        const std::vector<std::string> names{"state", "snapshot", "log-1"};
        std::string &content = disk.content(names[mutator.below(names.size())]);
        content = mutator.mutated({content});
        CATCH_INFO("round " << round);
        const std::string outcome = outcomeOf(disk);
        CATCH_REQUIRE((outcome == "read" || outcome == "corrupted"));
        refused += outcome == "corrupted" ? 1 : 0;
    }
    CATCH_REQUIRE(refused > 500);
}

// Guards against a log without the snapshot that it follows, whose entries would count as the first ones.
CATCH_TEST_CASE("A missing file of the control log is corruption", "[fuzz][control-log]")
{
    for (const char *name : {"state", "snapshot", "log-1"}) {
        SimulatedDisk disk(1);
        fillDisk(disk);
        CATCH_REQUIRE(disk.remove(name));
        CATCH_INFO(name);
        CATCH_REQUIRE(outcomeOf(disk) == "corrupted");
    }
}

// Guards against a disk that fails while it is read: the stream of the standard library throws then.
CATCH_TEST_CASE("An unreadable file of the control log is a failure of the disk", "[fuzz][control-log]")
{
    const std::string folder = newFolder();
    std::filesystem::create_directory(folder + "/state");
    PosixDisk disk(folder);
    CATCH_REQUIRE(outcomeOf(disk) == "failed");
    std::filesystem::remove_all(folder);
}

// Guards against a changed copy of the catalogue that crashes a starting VM or is taken.
CATCH_TEST_CASE("Mutated copies of the catalogue are refused", "[fuzz][config-in-force]")
{
    const std::string folder = newFolder();
    const CatalogueFile file(folder);
    CATCH_REQUIRE(file.write(Catalogue::createEmpty()->snapshot()));
    std::ifstream stream(file.file(), std::ios::binary);
    const std::string intact((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    Mutator mutator(5);
    for (int round = 0; round < 500; ++round) {
        const std::string content = mutator.mutated({intact});
        std::ofstream(file.file(), std::ios::binary | std::ios::trunc) << content;
        CATCH_INFO("round " << round);
        CATCH_REQUIRE(static_cast<bool>(file.read()) == (content == intact));
    }
    std::filesystem::remove_all(folder);
}
