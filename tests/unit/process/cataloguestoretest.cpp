#include "process/cataloguestore.h"
#include "process/cataloguekeeper.h"
#include "process/keyhash.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace Hyssophall;
using CatalogueMessages::VersionedChange;

namespace {

VersionedChange putTeam(std::uint64_t version)
{
    VersionedChange change;
    change.set_version(version);
    CatalogueMessages::Team &team = *change.mutable_change()->mutable_put_team();
    team.set_name("team" + std::to_string(version));
    team.set_owner("owner");
    team.set_rate(1);
    team.set_burst(1);
    team.set_weight(1);
    return change;
}

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "hyssophall-XXXXXX").string();
        this->path = mkdtemp(name.data());
    }
    ~TemporaryFolder()
    {
        std::filesystem::remove_all(this->path);
    }

    std::string path;
};

/// The reasons of all failures while a keeper loads the copy into the store.
std::vector<CatalogueFileError::Reason> load(const std::string &folder, CatalogueStore &store)
{
    std::vector<CatalogueFileError::Reason> reasons;
    const CatalogueKeeper keeper(folder, store, [&reasons](const CatalogueFileError &error) { reasons.push_back(error.reason); });
    return reasons;
}

} // namespace

// Guards against a VM that goes back to an older catalogue or skips a change.
CATCH_TEST_CASE("The store's version only goes up and has no gaps", "[catalogue][config-in-force]")
{
    CatalogueStore store;
    std::vector<std::uint64_t> announced;
    store.addListener([&announced](const std::shared_ptr<const Catalogue> &catalogue) { announced.push_back(catalogue->version()); });
    CATCH_REQUIRE(store.advance({putTeam(1), putTeam(2)}).value() == 2);
    CATCH_REQUIRE(store.advance({putTeam(1), putTeam(2), putTeam(3), putTeam(5)}).value() == 3);
    CATCH_REQUIRE(store.replace(CatalogueMessages::Snapshot()).value() == 3);
    CATCH_REQUIRE(store.current()->findTeam("team3") != nullptr);
    CATCH_REQUIRE(announced == std::vector<std::uint64_t>{2, 3});
    CATCH_REQUIRE(store.changesSince(1)->size() == 2);
    CATCH_REQUIRE(store.changesSince(3)->empty());
    VersionedChange bad = putTeam(4);
    bad.mutable_change()->mutable_put_team()->clear_owner();
    CATCH_REQUIRE(!store.advance({bad}));
    CATCH_REQUIRE(store.current()->version() == 3);
}

// Guards against deltas that begin after a version that the peer doesn't have.
CATCH_TEST_CASE("A peer too far behind gets no changes", "[catalogue][config-in-force]")
{
    CatalogueStore store;
    for (std::uint64_t version = 1; version <= CatalogueStore::maximumKeptChanges + 5; ++version) {
        CATCH_REQUIRE(store.advance({putTeam(version)}));
    }
    CATCH_REQUIRE(!store.changesSince(4));
    CATCH_REQUIRE(store.changesSince(5)->front().version() == 6);
    CatalogueMessages::Snapshot snapshot = store.current()->snapshot();
    snapshot.set_version(5000);
    CATCH_REQUIRE(store.replace(snapshot).value() == 5000);
    CATCH_REQUIRE(!store.changesSince(4999));
    CATCH_REQUIRE(store.advance({putTeam(5001)}).value() == 5001);
    CATCH_REQUIRE(store.changesSince(5000)->size() == 1);
}

// Guards against a listener that changes the store while it is notified.
CATCH_TEST_CASE("Listeners may install a newer catalogue", "[catalogue]")
{
    CatalogueStore store;
    std::vector<std::uint64_t> announced;
    store.addListener([&](const std::shared_ptr<const Catalogue> &catalogue) {
        if (catalogue->version() == 1) {
            CATCH_REQUIRE(store.advance({putTeam(2)}));
        }
    });
    store.addListener([&announced](const std::shared_ptr<const Catalogue> &catalogue) { announced.push_back(catalogue->version()); });
    CATCH_REQUIRE(store.advance({putTeam(1)}));
    CATCH_REQUIRE(announced == std::vector<std::uint64_t>{1, 2});
}

// Guards against a damaged copy being taken for a catalogue after a restart.
CATCH_TEST_CASE("A corrupted copy of the catalogue is detected and not used", "[catalogue][config-in-force]")
{
    const TemporaryFolder folder;
    const std::string file = CatalogueFile(folder.path).file();
    {
        CatalogueStore store;
        CATCH_REQUIRE(load(folder.path, store).empty());
        const CatalogueKeeper keeper(folder.path, store, [](const CatalogueFileError &) { CATCH_FAIL(); });
        CATCH_REQUIRE(store.advance({putTeam(1), putTeam(2)}));
    }
    CatalogueStore restarted;
    CATCH_REQUIRE(load(folder.path, restarted).empty());
    CATCH_REQUIRE(restarted.current()->version() == 2);
    const std::uintmax_t size = std::filesystem::file_size(file);
    std::string content(size, '\0');
    std::ifstream(file, std::ios::binary).read(content.data(), static_cast<std::streamsize>(size));
    for (std::uintmax_t position = 0; position < size; ++position) {
        std::string damaged = content;
        damaged[position] = static_cast<char>(damaged[position] ^ 4);
        std::ofstream(file, std::ios::binary) << (position % 2 == 0 ? damaged : content.substr(0, position));
        CatalogueStore store;
        CATCH_REQUIRE(load(folder.path, store) == std::vector<CatalogueFileError::Reason>{CatalogueFileError::Reason::Corrupted});
        CATCH_REQUIRE(store.current()->version() == 0);
    }
}

// Guards against hashes that other tools, such as sha256sum, would spell differently.
CATCH_TEST_CASE("Keys are hashed and compared as SHA-256", "[catalogue][key-isolation]")
{
    const std::string digits = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    CATCH_REQUIRE(hexadecimal(hashKey("abc")) == digits);
    CATCH_REQUIRE(keyHashFromHexadecimal(digits) == hashKey("abc"));
    CATCH_REQUIRE(!keyHashFromHexadecimal(digits.substr(1)));
    CATCH_REQUIRE(!keyHashFromHexadecimal("BA" + digits.substr(2)));
    CATCH_REQUIRE(hasHash("abc", hashBytes(hashKey("abc"))));
    CATCH_REQUIRE(!hasHash("abd", hashBytes(hashKey("abc"))));
    CATCH_REQUIRE(!hasHash("", ""));
}
